package org.boragethread.core.stage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.boragethread.core.member.Member;
import org.boragethread.core.retry.SharedRetryBudget;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link StageRouter} while coordinators come and go. */
public class StageRouterTest {

    private static final GroupId GROUP = new GroupId(SimUpstreams.GROUP);
    private static final UpstreamId MAKER = new UpstreamId("maker-0");
    private static final long RESULT_BYTES = 60_000;

    private ManualTimeSource mTime;
    private SimUpstreams mUpstreams;
    private CoordinatorTable mCoordinators;
    private FakePeers mPeers;
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
        SharedRetryBudget budget = new SharedRetryBudget(mTime, 0, 10, Duration.ofSeconds(10));
        BatchScheduler local = new BatchScheduler(mUpstreams, mUpstreams, budget, mTime, mTime);
        mCoordinators = new CoordinatorTable(mTime);
        mPeers = new FakePeers();
        mRouter =
                new StageRouter(
                        "self",
                        mCoordinators,
                        group -> local,
                        mPeers,
                        mUpstreams,
                        mUpstreams.directory(),
                        mTime);
    }

    /** The first address is that of the entry that has run longest. */
    private void members(String... addresses) {
        List<Member> members = new ArrayList<>();
        Stream.of(addresses).forEach(address -> members.add(new Member(address, members.size())));
        mCoordinators.setMembers(members);
        mRouter.onMembersChanged();
    }

    private void keep(String handle, long submittedAt) {
        mRouter.keep(GROUP, new MadePiece(handle, MAKER), RESULT_BYTES, submittedAt);
    }

    private long countedHere() {
        return node().results().bytes(mTime.nanoTime());
    }

    private UpstreamNode node() {
        return mUpstreams.directory().find(MAKER).orElseThrow();
    }

    @Test
    public void newCoordinatorLearnsOfResultsThatRequestsHold() {
        members("old", "new", "self");
        keep("h1", mTime.nanoTime());
        keep("h2", mTime.nanoTime());
        assertTrue(mPeers.mReports.isEmpty(), "the coordinator counts what it has had made");
        members("new", "self");
        assertEquals(mPeers.mReports, List.of("new 2"));
    }

    @Test
    public void coordinatorThatDidNotAnswerIsReplacedByTheNextNotByEveryEntryItself() {
        members("old", "new", "self");
        keep("h1", mTime.nanoTime());
        mPeers.mLost = "old";
        mRouter.queue(GROUP).submit(pieces());
        assertEquals(mPeers.mMade, List.of("old", "new"));
        assertEquals(mPeers.mReports, List.of("new 1"));
    }

    @Test
    public void lastEntrySchedulesItself() {
        members("old", "self");
        mPeers.mLost = "old";
        mRouter.queue(GROUP).submit(pieces());
        assertEquals(mUpstreams.calls().size(), 1);
    }

    @Test
    public void resultThatTheOldCoordinatorHadMadeLateIsReportedToo() {
        members("old", "new", "self");
        mRouter.queue(GROUP).submit(pieces());
        long submitted = mTime.nanoTime();
        mTime.advance(Duration.ofMillis(100));
        members("new", "self");
        keep("h1", submitted);
        keep("h2", mTime.nanoTime());
        assertEquals(mPeers.mReports, List.of("new 1"));
    }

    @Test
    public void entryThatTakesOverCountsItsOwnResults() {
        members("old", "self");
        keep("h1", mTime.nanoTime());
        assertEquals(countedHere(), 0);
        members("self");
        assertEquals(countedHere(), RESULT_BYTES);
    }

    @Test
    public void freedAndExpiredResultsAreNotReported() {
        members("old", "new", "self");
        keep("freed", mTime.nanoTime());
        keep("expired", mTime.nanoTime());
        mRouter.free(GROUP, MAKER, List.of("freed"));
        mTime.advance(Duration.ofSeconds(5));
        members("new", "self");
        assertTrue(mPeers.mReports.isEmpty());
    }

    @Test
    public void resultsOfOtherEntriesAreCountedOnce() {
        HeldResult held =
                new HeldResult(
                        new MadePiece("h1", MAKER),
                        RESULT_BYTES,
                        mTime.nanoTime() + Duration.ofSeconds(1).toNanos());
        mRouter.countHere(List.of(held));
        mRouter.countHere(List.of(held));
        assertEquals(countedHere(), RESULT_BYTES);
    }

    private List<PendingPiece> pieces() {
        long deadline = mTime.nanoTime() + Duration.ofSeconds(6).toNanos();
        PieceWork work = new PieceWork("r1", 0, 0, deadline, "key", RESULT_BYTES, Optional.empty());
        PieceListener listener =
                new PieceListener() {
                    @Override
                    public void onMade(PieceWork made, MadePiece piece) {}

                    @Override
                    public void onFailed(PieceWork failed, StageFailure failure) {}
                };
        PieceUrgency urgency = new PieceUrgency(0, deadline, false, false);
        return List.of(
                new PendingPiece(work, urgency, Optional.empty(), listener, mTime.nanoTime()));
    }

    /** Notes what peers are told. */
    private static final class FakePeers implements StagePeers {

        private final List<String> mMade = new ArrayList<>();
        private final List<String> mReports = new ArrayList<>();
        private String mLost = "";

        @Override
        public void make(String peer, GroupId group, List<PendingPiece> pieces, Runnable orElse) {
            mMade.add(peer);
            if (peer.equals(mLost)) {
                orElse.run();
            }
        }

        @Override
        public void free(
                String peer,
                GroupId group,
                UpstreamId maker,
                Collection<String> handles,
                Runnable orElse) {}

        @Override
        public void report(String peer, GroupId group, Collection<HeldResult> results) {
            mReports.add(peer + " " + results.size());
        }
    }
}
