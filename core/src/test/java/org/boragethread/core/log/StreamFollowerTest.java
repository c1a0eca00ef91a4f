package org.boragethread.core.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link StreamFollower}. */
public class StreamFollowerTest implements StreamHandler {

    private static final String STREAM = "records";

    private ManualTimeSource mTime;
    private InMemoryLog mLog;
    private List<Long> mSeen;
    private int mFailures;
    private int mExpiries;
    private long mSnapshotOffset;
    private StreamFollower mFollower;

    @BeforeMethod
    public void startFollower() {
        mTime = new ManualTimeSource();
        mLog = new InMemoryLog(mTime);
        mSeen = new ArrayList<>();
        mFailures = 0;
        mExpiries = 0;
        mFollower =
                new StreamFollower.Builder()
                        .stream(mLog, STREAM).time(mTime, mTime).handler(this).seed(7).build();
        mFollower.start(0);
        mTime.advance(Duration.ofMillis(50));
    }

    @Override
    public void onBatch(LogBatch batch, boolean caughtUp) {
        if (mFailures > 0 && !batch.records().isEmpty()) {
            mFailures--;
            throw new IllegalStateException("simulated handler failure");
        }
        batch.records().forEach(r -> mSeen.add(r.offset()));
    }

    @Override
    public CompletableFuture<Long> onExpired(LogError.Expired expired) {
        mExpiries++;
        return CompletableFuture.completedFuture(mSnapshotOffset);
    }

    private void append(int count) {
        for (int i = 0; i < count; i++) {
            mLog.append(STREAM, List.of(new LogEntry("id", new byte[0])));
        }
    }

    @Test
    public void recordIsDeliveredWithoutWaitingForTheNextPoll() {
        append(1);
        mTime.advance(Duration.ofMillis(1));
        assertEquals(mSeen, List.of(0L));
    }

    @Test
    public void recordsAppendedDuringAnOutageAreDeliveredInOrder() {
        mLog.setUnavailable(true);
        mTime.advance(Duration.ofSeconds(30));
        assertTrue(mFollower.staleness().orElseThrow().compareTo(Duration.ofSeconds(28)) > 0);
        mLog.setUnavailable(false);
        append(3);
        mTime.advance(InMemoryLog.POLL_ROUND);
        assertEquals(mSeen, List.of(0L, 1L, 2L));
        assertTrue(mFollower.staleness().orElseThrow().compareTo(Duration.ofSeconds(2)) < 0);
    }

    @Test
    public void batchIsDeliveredAgainAfterItsHandlerFailed() {
        mFailures = 2;
        append(1);
        mTime.advance(InMemoryLog.POLL_ROUND);
        assertEquals(mSeen, List.of(0L));
    }

    @Test
    public void expiredRecordsAreSkippedOnceASnapshotIsLoaded() {
        mLog.setUnavailable(true);
        mTime.advance(Duration.ofSeconds(2));
        mLog.setUnavailable(false);
        append(10);
        mLog.expireBefore(STREAM, 5);
        mTime.advance(Duration.ofSeconds(10));
        assertTrue(mExpiries > 1, "expiries: " + mExpiries);
        assertEquals(mSeen, List.of());
        mSnapshotOffset = 7;
        mTime.advance(InMemoryLog.POLL_ROUND);
        assertEquals(mSeen, List.of(7L, 8L, 9L));
    }

    @Test
    public void followerThatNeverCaughtUpHasNoStaleness() {
        StreamFollower other =
                new StreamFollower.Builder()
                        .stream(mLog, STREAM).time(mTime, mTime).handler(this).build();
        mLog.setUnavailable(true);
        other.start(0);
        mTime.advance(InMemoryLog.POLL_ROUND);
        assertEquals(other.staleness(), Optional.empty());
    }

    @Test
    public void streamThatEndsBeforeTheNextOffsetIsNotCaughtUp() {
        StreamFollower other =
                new StreamFollower.Builder()
                        .stream(mLog, STREAM).time(mTime, mTime).handler(this).build();
        other.start(5);
        mTime.advance(InMemoryLog.POLL_ROUND);
        assertEquals(other.staleness(), Optional.empty());
    }

    @Test
    public void stoppedFollowerDeliversNothing() {
        mFollower.stop();
        append(1);
        mTime.advance(InMemoryLog.POLL_ROUND);
        assertEquals(mSeen, List.of());
    }
}
