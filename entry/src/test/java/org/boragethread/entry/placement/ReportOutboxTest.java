package org.boragethread.entry.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.boragethread.wire.proto.PlacementReport;
import org.boragethread.wire.proto.PlacementReports;
import org.boragethread.wire.proto.PlacementRestore;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests reports to a coordinator that fails, or that this entry fails to send. */
public class ReportOutboxTest {

    private OneEngine mEngine;
    private ReportOutbox mOutbox;
    private List<PlacementReports> mSent;
    private ReportResult mResult;
    private boolean mActive;
    private int mFailing;
    private int mConfirmed;
    private boolean mThrowing;

    @BeforeMethod
    public void start() {
        mEngine = new OneEngine();
        mSent = new ArrayList<>();
        mResult = ReportResult.CONFIRMED;
        mActive = false;
        mFailing = 0;
        mConfirmed = 0;
        mThrowing = false;
        mOutbox =
                new ReportOutbox(
                        this::send,
                        PlacementReports.getDefaultInstance(),
                        PlacementRestore::getDefaultInstance,
                        new Listener(),
                        mEngine.scheduler(),
                        mEngine.supervisor(),
                        mEngine.time());
    }

    private void send(PlacementReports reports, CoordinatorLink.ReportListener listener) {
        if (mFailing > 0) {
            mFailing--;
            throw new IllegalStateException("cannot send");
        }
        mSent.add(reports);
        listener.onReported(mResult);
    }

    private void advance(int seconds) {
        mEngine.time().advance(Duration.ofSeconds(seconds));
    }

    // Guards against reports that are never sent again, and accumulate.
    @Test
    public void messageThatCannotBeSentIsReplacedByRestore() {
        mOutbox.probe();
        mFailing = 1;
        mOutbox.add(PlacementReport.getDefaultInstance());
        advance(1);
        assertEquals(mEngine.failures().size(), 1);
        assertEquals(mSent.size(), 2);
        assertTrue(mSent.get(1).hasRestore());
    }

    // Guards against a request that fails because a report for others could not be handled.
    @Test
    public void failureOfTimerIsNotThatOfARequest() {
        List<Throwable> ofRequest = new ArrayList<>();
        mThrowing = true;
        mEngine.supervisor()
                .guard()
                .run(ofRequest::add, () -> mOutbox.add(PlacementReport.getDefaultInstance()));
        advance(1);
        assertEquals(ofRequest, List.of());
        assertTrue(!mEngine.failures().isEmpty());
    }

    @Test
    public void restoreIsSentWhenCoordinatorNeedsIt() {
        mOutbox.probe();
        mResult = ReportResult.RESTORE_NEEDED;
        mOutbox.probe();
        mResult = ReportResult.CONFIRMED;
        advance(1);
        assertEquals(mSent.size(), 3);
        assertTrue(mSent.get(2).hasRestore());
        assertEquals(mConfirmed, 3);
    }

    // Guards against a process that calls a dead coordinator for ever.
    @Test
    public void retriesEndWhenThereIsNothingToReport() {
        mResult = ReportResult.LOST;
        mOutbox.probe();
        advance(60);
        int sent = mSent.size();
        assertEquals(sent, 11);
        advance(60);
        assertEquals(mSent.size(), sent);
        mActive = true;
        mOutbox.probe();
        advance(10);
        assertTrue(mSent.size() > sent + 10, "" + mSent.size());
    }

    /** Counts confirmations. */
    private final class Listener implements ReportOutbox.Listener {

        @Override
        public boolean isActive() {
            return mActive;
        }

        @Override
        public void onConfirmed() {
            mConfirmed++;
            if (mThrowing) {
                throw new IllegalStateException("cannot handle");
            }
        }

        @Override
        public void onLost() {
            // Only retries are tested here.
        }
    }
}
