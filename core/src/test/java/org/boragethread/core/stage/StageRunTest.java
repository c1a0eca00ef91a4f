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
    private static final UpstreamId UPSTREAM = new UpstreamId("maker");
    private static final DataCentreId NORTH = new DataCentreId("north");
    private static final DataCentreId SOUTH = new DataCentreId("south");

    private ManualTimeSource mTime;
    private FakeQueue mQueue;
    private Set<String> mFreed;
    private Set<String> mTracked;
    private List<String> mFinalHandles;
    private Optional<StageFailure> mFailure;

    @BeforeMethod
    public void reset() {
        mTime = new ManualTimeSource();
        mQueue = new FakeQueue();
        mFreed = new HashSet<>();
        mTracked = new HashSet<>();
        mFinalHandles = List.of();
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
                        Optional.of(SOUTH),
                        "team",
                        false);
        StageRun run =
                new StageRun(
                        request,
                        group -> mQueue,
                        new FakeTracker(),
                        id -> Optional.of(NORTH),
                        mTime,
                        new StageListener() {
                            @Override
                            public void onStagesDone(List<String> handles) {
                                mFinalHandles = handles;
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
    public void stageStartsWhenAllItsInputsAreComplete() {
        run(new int[] {2, 3}, stage(8), stage(60, 0));
        assertEquals(mQueue.mPending.size(), 2);
        mQueue.completeNext();
        assertEquals(mQueue.mPending.size(), 1);
        mQueue.completeNext();
        assertEquals(mQueue.mPending.size(), 3);
    }

    @Test
    public void eachPieceGetsAllResultsOfItsInputStages() {
        run(new int[] {2, 3}, stage(8), stage(60, 0));
        mQueue.completeNext();
        mQueue.completeNext();
        for (PendingPiece piece : mQueue.mPending) {
            assertEquals(piece.work().inputs().orElseThrow(), List.of("0/0", "0/1"));
        }
    }

    @Test
    public void resultsAreFreedWhenNoStageNeedsThem() {
        run(new int[] {1, 1, 1}, stage(8), stage(60, 0), stage(6, 1));
        mQueue.completeNext();
        assertTrue(mFreed.isEmpty());
        mQueue.completeNext();
        assertEquals(mFreed, Set.of("0/0"));
        mQueue.completeNext();
        assertEquals(mFreed, Set.of("0/0", "1/0"));
        assertEquals(mFinalHandles, List.of("2/0"));
    }

    @Test
    public void skippedStageIsNeitherExecutedNorRequired() {
        run(new int[] {0, 1}, stage(8), stage(60));
        mQueue.completeNext();
        assertEquals(mFinalHandles, List.of("1/0"));
    }

    /**
     * Late requests wait long behind others. Guards against counting that time as a delay that
     * other requests must expect, which would have them refused.
     */
    @Test
    public void lateRequestDoesNotAffectTheExpectedTime() {
        run(new int[] {1}, stage(8));
        mQueue.completeNext();
        assertEquals(mQueue.mRecordedTimes, 1);
        run(new int[] {1}, stage(8));
        mTime.advance(Duration.ofSeconds(3));
        mQueue.completeNext();
        assertEquals(mQueue.mRecordedTimes, 1);
    }

    @Test
    public void cancelledRunFreesAllResultsIncludingLaterOnes() {
        StageRun run = run(new int[] {2}, stage(8));
        mQueue.completeNext();
        PendingPiece last = mQueue.mPending.get(0);
        run.cancel();
        assertTrue(last.isCancelled());
        last.listener().onCompleted(last.work(), new ResultLocation("late", UPSTREAM));
        assertEquals(mFreed, Set.of("0/0", "late"));
    }

    @Test
    public void failureIsReportedOnce() {
        run(new int[] {2}, stage(8));
        PendingPiece first = mQueue.mPending.get(0);
        StageFailure failure = new StageFailure(StageFailure.Kind.FAILED, "pieces");
        first.listener().onFailed(first.work(), failure);
        PendingPiece second = mQueue.mPending.get(1);
        second.listener().onFailed(second.work(), failure);
        assertEquals(mFailure.orElseThrow(), failure);
        assertTrue(mFinalHandles.isEmpty());
    }

    @Test
    public void stageWithLargeInputsPrefersTheirDataCentre() {
        run(new int[] {8, 16}, stage(60_000), stage(6000, 0));
        for (int i = 0; i < 8; i++) {
            mQueue.completeNext();
        }
        assertEquals(mQueue.mPending.get(0).preferred(), Optional.of(NORTH));
        assertTrue(mQueue.mPending.get(0).urgency().holdsInputs());
    }

    @Test
    public void everyResultIsTrackedAndFreed() {
        StageRun run = run(new int[] {2}, stage(8));
        mQueue.completeNext();
        mQueue.completeNext();
        assertEquals(mTracked, Set.of("0/0", "0/1"));
        run.freeResults();
        assertEquals(mFreed, mTracked);
    }

    @Test
    public void stageWithLargeFinalResultsPrefersTheirDestination() {
        run(new int[] {1}, stage(3_000_000));
        assertEquals(mQueue.mPending.get(0).preferred(), Optional.of(SOUTH));
    }

    /** A queue whose pieces tests complete one by one. */
    private static final class FakeQueue implements PieceQueue {

        private final List<PendingPiece> mPending = new ArrayList<>();
        private int mRecordedTimes;

        @Override
        public void submit(List<PendingPiece> pieces) {
            mPending.addAll(pieces);
        }

        void completeNext() {
            PendingPiece piece = mPending.remove(0);
            String handle = piece.work().stage() + "/" + piece.work().number();
            piece.listener().onCompleted(piece.work(), new ResultLocation(handle, UPSTREAM));
        }

        @Override
        public long minTime(int pieces) {
            return Duration.ofMillis(150).toNanos();
        }

        @Override
        public long expectedTime(int pieces, int priority) {
            return minTime(pieces);
        }

        @Override
        public long resultMemory() {
            return 1_000_000;
        }

        @Override
        public void onStageDone(long nanos, int priority) {
            mRecordedTimes++;
        }
    }

    /** Records which results are tracked and freed. */
    private final class FakeTracker implements ResultTracker {

        @Override
        public void track(GroupId group, ResultLocation location, long bytes, long submittedAt) {
            mTracked.add(location.handle());
        }

        @Override
        public void free(GroupId group, UpstreamId upstream, Collection<String> handles) {
            mFreed.addAll(handles);
        }
    }
}
