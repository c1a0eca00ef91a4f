package org.boragethread.core.stage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.RouteStage;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link StageRun}. */
public class StageRunTest {

    private static final GroupId GROUP = new GroupId("pieces");
    private static final UpstreamId MAKER = new UpstreamId("maker");
    private static final DataCentreId NORTH = new DataCentreId("north");
    private static final DataCentreId SOUTH = new DataCentreId("south");

    private ManualTimeSource mTime;
    private FakeQueue mQueue;
    private Set<String> mFreed;
    private Set<String> mKept;
    private List<String> mFinal;
    private Optional<StageFailure> mFailure;

    @BeforeMethod
    public void reset() {
        mTime = new ManualTimeSource();
        mQueue = new FakeQueue();
        mFreed = new HashSet<>();
        mKept = new HashSet<>();
        mFinal = List.of();
        mFailure = Optional.empty();
    }

    private StageRun run(int[] pieces, RouteStage... stages) {
        StageRequest request =
                new StageRequest(
                        "request",
                        List.of(stages),
                        pieces,
                        "key",
                        Duration.ofSeconds(6).toNanos(),
                        Duration.ofSeconds(2).toNanos(),
                        0,
                        Optional.of(SOUTH));
        StageRun run =
                new StageRun(
                        request,
                        group -> mQueue,
                        new Keeper(),
                        id -> Optional.of(NORTH),
                        mTime,
                        new StageListener() {
                            @Override
                            public void onStagesDone(List<String> handles) {
                                mFinal = handles;
                            }

                            @Override
                            public void onStagesFailed(StageFailure failure) {
                                mFailure = Optional.of(failure);
                            }
                        });
        run.start();
        return run;
    }

    private static RouteStage stage(long bytes, Integer... after) {
        return new RouteStage(GROUP, List.of(after), bytes);
    }

    @Test
    public void stageBeginsWhenAllThatItNeedsIsMade() {
        run(new int[] {2, 3}, stage(8), stage(60, 0));
        assertEquals(mQueue.mPending.size(), 2);
        mQueue.make();
        assertEquals(mQueue.mPending.size(), 1);
        mQueue.make();
        assertEquals(mQueue.mPending.size(), 3);
    }

    @Test
    public void eachPieceGetsAllResultsOfTheStagesBefore() {
        run(new int[] {2, 3}, stage(8), stage(60, 0));
        mQueue.make();
        mQueue.make();
        for (PendingPiece piece : mQueue.mPending) {
            assertEquals(piece.work().inputs().orElseThrow(), List.of("0/0", "0/1"));
        }
    }

    @Test
    public void resultsAreFreedWhenNothingNeedsThem() {
        run(new int[] {1, 1, 1}, stage(8), stage(60, 0), stage(6, 1));
        mQueue.make();
        assertTrue(mFreed.isEmpty());
        mQueue.make();
        assertEquals(mFreed, Set.of("0/0"));
        mQueue.make();
        assertEquals(mFreed, Set.of("0/0", "1/0"));
        assertEquals(mFinal, List.of("2/0"));
    }

    @Test
    public void leftOutStageIsNeitherMadeNorNeeded() {
        run(new int[] {0, 1}, stage(8), stage(60));
        mQueue.make();
        assertEquals(mFinal, List.of("1/0"));
    }

    /** Pattern: late requests wait long behind others, whose admission must not suffer for it. */
    @Test
    public void lateRequestSaysNothingOfTheDelayOfOthers() {
        run(new int[] {1}, stage(8));
        mQueue.make();
        assertEquals(mQueue.mObserved, 1);
        run(new int[] {1}, stage(8));
        mTime.advance(Duration.ofSeconds(3));
        mQueue.make();
        assertEquals(mQueue.mObserved, 1);
    }

    @Test
    public void givenUpRunFreesEverythingAlsoWhatIsMadeLater() {
        StageRun run = run(new int[] {2}, stage(8));
        mQueue.make();
        PendingPiece last = mQueue.mPending.get(0);
        run.cancel();
        assertTrue(last.isCancelled());
        last.listener().onMade(last.work(), new MadePiece("late", MAKER));
        assertEquals(mFreed, Set.of("0/0", "late"));
    }

    @Test
    public void failedPieceEndsTheRunOnce() {
        run(new int[] {2}, stage(8));
        PendingPiece first = mQueue.mPending.get(0);
        StageFailure failure = new StageFailure(StageFailure.Kind.FAILED, "pieces");
        first.listener().onFailed(first.work(), failure);
        PendingPiece second = mQueue.mPending.get(1);
        second.listener().onFailed(second.work(), failure);
        assertEquals(mFailure.orElseThrow(), failure);
        assertTrue(mFinal.isEmpty());
    }

    @Test
    public void stageWithLargeInputsFollowsThem() {
        run(new int[] {8, 16}, stage(60_000), stage(6000, 0));
        for (int i = 0; i < 8; i++) {
            mQueue.make();
        }
        assertEquals(mQueue.mPending.get(0).preferred(), Optional.of(NORTH));
        assertTrue(mQueue.mPending.get(0).urgency().holdsInputs());
    }

    @Test
    public void everyResultIsKeptUntilItIsFreed() {
        StageRun run = run(new int[] {2}, stage(8));
        mQueue.make();
        mQueue.make();
        assertEquals(mKept, Set.of("0/0", "0/1"));
        run.release();
        assertEquals(mFreed, mKept);
    }

    @Test
    public void largeFinalResultsAreMadeAtTheirDestination() {
        run(new int[] {1}, stage(3_000_000));
        assertEquals(mQueue.mPending.get(0).preferred(), Optional.of(SOUTH));
    }

    /** A queue whose pieces a test makes one by one. */
    private static final class FakeQueue implements PieceQueue {

        private final List<PendingPiece> mPending = new ArrayList<>();
        private int mObserved;

        @Override
        public void submit(List<PendingPiece> pieces) {
            mPending.addAll(pieces);
        }

        void make() {
            PendingPiece piece = mPending.remove(0);
            String handle = piece.work().stage() + "/" + piece.work().number();
            piece.listener().onMade(piece.work(), new MadePiece(handle, MAKER));
        }

        @Override
        public long leastTime(int pieces) {
            return Duration.ofMillis(150).toNanos();
        }

        @Override
        public long expectedTime(int pieces, int priority) {
            return leastTime(pieces);
        }

        @Override
        public void onStageDone(long nanos, int priority) {
            mObserved++;
        }
    }

    /** Notes which results are kept and freed. */
    private final class Keeper implements ResultKeeper {

        @Override
        public void keep(GroupId group, MadePiece made, long bytes, long submittedAt) {
            mKept.add(made.handle());
        }

        @Override
        public void free(GroupId group, UpstreamId maker, Collection<String> handles) {
            mFreed.addAll(handles);
        }
    }
}
