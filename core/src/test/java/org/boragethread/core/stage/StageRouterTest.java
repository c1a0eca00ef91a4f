package org.boragethread.core.stage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.boragethread.core.callback.Supervisors;
import org.boragethread.core.member.Member;
import org.boragethread.core.retry.SharedRetryBudget;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.BatchLimits;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link StageRouter} while coordinators change. */
public class StageRouterTest {

    private static final GroupId GROUP = new GroupId(SimUpstreams.GROUP);
    private static final UpstreamId UPSTREAM = new UpstreamId("maker-0");
    private static final long RESULT_BYTES = 60_000;

    private ManualTimeSource mTime;
    private SimUpstreams mUpstreams;
    private CoordinatorTable mCoordinators;
    private FakeCoordinatorClient mCoordinatorClient;
    private StageRouter mRouter;

    @BeforeMethod
    public void makeRouter() {
        mTime = new ManualTimeSource();
        mTime.advance(Duration.ofSeconds(1));
        BatchLimits limits =
                new BatchLimits(
                        1,
                        2,
                        7,
                        Duration.ofMillis(150),
                        Duration.ofMillis(18),
                        10 * RESULT_BYTES,
                        Duration.ofSeconds(4));
        mUpstreams = new SimUpstreams(mTime, limits, "north");
        SharedRetryBudget budget =
                new SharedRetryBudget(mTime, 0, Duration.ofSeconds(10), () -> 10);
        BatchScheduler local =
                new BatchScheduler(
                        mUpstreams,
                        mUpstreams,
                        budget,
                        mTime,
                        mTime,
                        Supervisors.rethrowing(),
                        new LocalStagePolicy());
        mCoordinators = new CoordinatorTable(mTime, new DataCentreId("north"));
        mCoordinatorClient = new FakeCoordinatorClient();
        mRouter =
                new StageRouter(
                        "self",
                        mCoordinators,
                        group -> local,
                        mCoordinatorClient,
                        mUpstreams,
                        mUpstreams.directory(),
                        mTime);
    }

    /** Sets the members; the first is the one that has run longest, and thus the coordinator. */
    private void setMembers(String... addresses) {
        List<Member> members = new ArrayList<>();
        Stream.of(addresses)
                .forEach(
                        address ->
                                members.add(
                                        new Member(
                                                address,
                                                members.size(),
                                                57,
                                                new DataCentreId("north"))));
        mCoordinators.setMembers(members);
        mRouter.onMembersChanged();
    }

    private void keep(String handle, long submittedAt) {
        mRouter.track(GROUP, new ResultLocation(handle, UPSTREAM), RESULT_BYTES, submittedAt);
    }

    private long locallyUsedBytes() {
        return upstream().resultMemory().usedBytes(mTime.nanoTime());
    }

    private UpstreamNode upstream() {
        return mUpstreams.directory().find(UPSTREAM).orElseThrow();
    }

    @Test
    public void heldResultsAreReportedToANewCoordinator() {
        setMembers("old", "new", "self");
        keep("h1", mTime.nanoTime());
        keep("h2", mTime.nanoTime());
        assertTrue(
                mCoordinatorClient.mReports.isEmpty(),
                "the coordinator knows results of its own calls");
        setMembers("new", "self");
        assertEquals(mCoordinatorClient.mReports, List.of("new 2"));
    }

    @Test
    public void unresponsiveCoordinatorIsReplacedByTheNextEntryRatherThanLocally() {
        setMembers("old", "new", "self");
        keep("h1", mTime.nanoTime());
        mCoordinatorClient.mUnresponsive = "old";
        mRouter.queue(GROUP).submit(pieces());
        assertEquals(mCoordinatorClient.mSubmissions, List.of("old", "new"));
        assertEquals(mCoordinatorClient.mReports, List.of("new 1"));
    }

    @Test
    public void piecesAreScheduledLocallyIfNoOtherEntryIsLeft() {
        setMembers("old", "self");
        mCoordinatorClient.mUnresponsive = "old";
        mRouter.queue(GROUP).submit(pieces());
        assertEquals(mUpstreams.calls().size(), 1);
    }

    @Test
    public void lateResultOfThePreviousCoordinatorIsReportedToo() {
        setMembers("old", "new", "self");
        mRouter.queue(GROUP).submit(pieces());
        long submitted = mTime.nanoTime();
        mTime.advance(Duration.ofMillis(100));
        setMembers("new", "self");
        keep("h1", submitted);
        keep("h2", mTime.nanoTime());
        assertEquals(mCoordinatorClient.mReports, List.of("new 1"));
    }

    @Test
    public void resultsHeldByThisEntryAreCountedWhenItBecomesCoordinator() {
        setMembers("old", "self");
        keep("h1", mTime.nanoTime());
        assertEquals(locallyUsedBytes(), 0);
        setMembers("self");
        assertEquals(locallyUsedBytes(), RESULT_BYTES);
    }

    @Test
    public void freedAndExpiredResultsAreNotReported() {
        setMembers("old", "new", "self");
        keep("freed", mTime.nanoTime());
        keep("expired", mTime.nanoTime());
        mRouter.free(GROUP, UPSTREAM, List.of("freed"));
        mTime.advance(Duration.ofSeconds(5));
        setMembers("new", "self");
        assertTrue(mCoordinatorClient.mReports.isEmpty());
    }

    @Test
    public void resultReportedTwiceIsCountedOnce() {
        HeldResult held =
                new HeldResult(
                        new ResultLocation("h1", UPSTREAM),
                        RESULT_BYTES,
                        mTime.nanoTime() + Duration.ofSeconds(1).toNanos());
        mRouter.addHeldResults(List.of(held));
        mRouter.addHeldResults(List.of(held));
        assertEquals(locallyUsedBytes(), RESULT_BYTES);
    }

    private List<PendingPiece> pieces() {
        long deadline = mTime.nanoTime() + Duration.ofSeconds(6).toNanos();
        PieceWork work = new PieceWork("r1", 0, 0, deadline, "key", RESULT_BYTES, Optional.empty());
        PieceListener listener =
                new PieceListener() {
                    @Override
                    public void onCompleted(PieceWork completed, ResultLocation location) {}

                    @Override
                    public void onFailed(PieceWork failed, StageFailure failure) {}
                };
        PieceUrgency urgency = new PieceUrgency(0, deadline, false, false);
        return List.of(
                new PendingPiece(work, urgency, Optional.empty(), listener, mTime.nanoTime()));
    }

    /** Records calls to coordinators. */
    private static final class FakeCoordinatorClient implements CoordinatorClient {

        private final List<String> mSubmissions = new ArrayList<>();
        private final List<String> mReports = new ArrayList<>();
        private String mUnresponsive = "";

        @Override
        public void submit(
                String coordinator, GroupId group, List<PendingPiece> pieces, Runnable fallback) {
            mSubmissions.add(coordinator);
            if (coordinator.equals(mUnresponsive)) {
                fallback.run();
            }
        }

        @Override
        public void free(
                String coordinator,
                GroupId group,
                UpstreamId upstream,
                Collection<String> handles,
                Runnable fallback) {}

        @Override
        public void reportHeldResults(
                String coordinator, GroupId group, Collection<HeldResult> results) {
            mReports.add(coordinator + " " + results.size());
        }
    }
}
