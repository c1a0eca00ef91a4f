package org.boragethread.entry.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.boragethread.core.callback.CallbackGuard;
import org.boragethread.core.member.Member;
import org.boragethread.core.placement.PlacementRefusal;
import org.boragethread.core.stage.CoordinatorTable;
import org.boragethread.core.time.Scheduler;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.process.log.EventLog;
import org.boragethread.wire.proto.PlacementNeeds;
import org.boragethread.wire.proto.PlacementQuery;
import org.boragethread.wire.proto.PlacementReports;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests an entry whose coordinator responds, but does not decide. */
public class PlacementRouterTest {

    private static final String COORDINATOR = "127.0.0.1:2";
    private static final DataCentreId DATA_CENTRE = new DataCentreId("north");

    private OneEngine mEngine;
    private CoordinatorTable mCoordinators;
    private Link mLink;
    private PlacementRouter mRouter;
    private List<String> mOutcomes;
    private List<CallbackGuard.Owner> mOwners;

    @BeforeMethod
    public void start() {
        mEngine = new OneEngine();
        mOutcomes = new ArrayList<>();
        mOwners = new ArrayList<>();
        mLink = new Link();
        mCoordinators = new CoordinatorTable(mEngine.time(), DATA_CENTRE);
        mCoordinators.setMembers(List.of(new Member(COORDINATOR, 1, 100, DATA_CENTRE)));
        mRouter =
                new PlacementRouter(
                        new EntryIncarnation("127.0.0.1:1", 1),
                        mCoordinators,
                        mLink,
                        new PlacementServer(mEngine, mEngine.time()),
                        this::schedule,
                        mEngine.time(),
                        mEngine.supervisor(),
                        new EventLog(
                                LogManager.getLogger(PlacementRouterTest.class), mEngine.time()),
                        new NoMetrics());
    }

    private static PlacementNeeds.Builder needs() {
        return PlacementNeeds.newBuilder()
                .setRequestId("r")
                .setDeadlineLeftNanos(Duration.ofSeconds(2).toNanos())
                .addUnusable("other");
    }

    private void place() {
        mRouter.place(OneEngine.GROUP, needs(), new Outcome());
    }

    private Scheduler.Timer schedule(Duration delay, Runnable task) {
        mOwners.add(mEngine.supervisor().guard().current());
        return mEngine.scheduler().schedule(delay, task);
    }

    private void advance(int millis) {
        mEngine.time().advance(Duration.ofMillis(millis));
    }

    // Guards against a request that hangs at a coordinator which still answers probes.
    @Test
    public void requestIsDecidedHereAfterDeadline() {
        place();
        advance(2000);
        assertEquals(mOutcomes, List.of());
        advance(300);
        assertEquals(mOutcomes, List.of("unavailable"));
        assertEquals(mRouter.waiting(), 0);
    }

    // Guards against one malformed request that makes an entry avoid a coordinator for all.
    @Test
    public void invalidRequestDoesNotAvoidCoordinator() {
        mLink.mInvalid = true;
        mLink.mSilent = true;
        place();
        assertEquals(mOutcomes, List.of("unavailable"));
        assertEquals(mCoordinators.coordinator(OneEngine.GROUP), Optional.of(COORDINATOR));
    }

    // Guards against a request that fails because a timer for others threw.
    @Test
    public void onlyTheTimerOfTheDeadlineRunsForTheRequest() {
        CallbackGuard.Owner request = cause -> mOutcomes.add("failed");
        mEngine.supervisor().guard().run(request, this::place);
        mOwners.removeIf(owner -> owner != request);
        assertEquals(mOwners.size(), 1);
    }

    // Guards against a request that waits for ever because it could not be sent.
    @Test
    public void requestThatCannotBeSentDoesNotWait() {
        mLink.mThrowing = true;
        assertThrows(IllegalStateException.class, this::place);
        assertEquals(mRouter.waiting(), 0);
    }

    // Guards against reports of many requests that exceed the size of a message.
    @Test
    public void heldRequestsHaveNoExclusions() {
        mRouter.track(OneEngine.GROUP, needs(), OneEngine.ENGINE);
        advance(100);
        PlacementReports restored = mLink.mReports.get(0);
        assertEquals(restored.getRestore().getHeldCount(), 1);
        assertEquals(restored.getRestore().getHeld(0).getNeeds().getUnusableCount(), 0);
        assertTrue(mEngine.failures().isEmpty());
    }

    // Guards against messages whose size the callers determine, which other entries reject.
    @Test
    public void longRequestIdsAndManyRequestsFitIntoMessages() {
        String id = "x".repeat(100_000);
        for (int i = 0; i < 40; i++) {
            mRouter.track(OneEngine.GROUP, needs().setRequestId(id + i), OneEngine.ENGINE);
        }
        advance(100);
        assertTrue(mLink.mReports.get(0).getSerializedSize() < 10_000);
        for (int i = 0; i < 40; i++) {
            mRouter.track(OneEngine.GROUP, needs().setTeam(id), OneEngine.ENGINE);
        }
        PlacementServer server = new PlacementServer(mEngine, mEngine.time());
        mLink.mReports.clear();
        mLink.mServer = Optional.of(server);
        advance(1000);
        for (PlacementReports reports : mLink.mReports) {
            assertTrue(reports.getSerializedSize() < 1 << 20);
        }
        assertEquals(server.placed(), 80);
        assertEquals(server.apply(mLink.mReports.get(0)), ReportResult.CONFIRMED);
    }

    /** A coordinator that takes all queries and confirms all reports. */
    private static final class Link implements CoordinatorLink {

        private final List<PlacementReports> mReports = new ArrayList<>();
        private boolean mInvalid;
        private boolean mThrowing;
        private boolean mSilent;
        private Optional<PlacementServer> mServer = Optional.empty();

        @Override
        public Call ask(String coordinator, PlacementQuery asked, Listener listener) {
            if (mThrowing) {
                throw new IllegalStateException("cannot send");
            }
            if (mInvalid) {
                listener.onInvalid();
            } else {
                listener.onAcknowledged();
            }
            return () -> {};
        }

        @Override
        public void report(String coordinator, PlacementReports reports, ReportListener listener) {
            mReports.add(reports);
            if (!mSilent) {
                listener.onReported(
                        mServer.map(server -> server.apply(reports))
                                .orElse(ReportResult.CONFIRMED));
            }
        }
    }

    /** Records the outcome of a request. */
    private final class Outcome implements PlacementOutcome {

        @Override
        public void onPlaced(UpstreamId engine, boolean prefixCached, PlacedAttempt attempt) {
            mOutcomes.add("placed");
        }

        @Override
        public void onRefused(PlacementRefusal.Reason reason, Duration retryAfter) {
            mOutcomes.add("refused");
        }

        @Override
        public void onUnavailable() {
            mOutcomes.add("unavailable");
        }
    }

    /** Counts nothing. */
    private static final class NoMetrics implements PlacementMetrics {

        @Override
        public void onPlacement(String decidedBy, Duration waited) {}

        @Override
        public void onPlacementRefused(String reason) {}

        @Override
        public void onPlacementRejected() {}

        @Override
        public void onPlacementCoordinator() {}
    }
}
