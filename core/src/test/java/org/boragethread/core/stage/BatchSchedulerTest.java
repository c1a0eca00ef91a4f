package org.boragethread.core.stage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.callback.Supervisors;
import org.boragethread.core.retry.SharedRetryBudget;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.BatchLimits;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link BatchScheduler} with simulated upstreams. */
public class BatchSchedulerTest {

    private static final int BATCH = 7;
    private static final long RESULT_BYTES = 60_000;

    private ManualTimeSource mTime;
    private SimUpstreams mUpstreams;
    private BatchScheduler mScheduler;
    private Recorder mRecorder;
    private int mRequests;
    private String mTeam;
    private boolean mContinuation;
    private Duration mDeadline;

    @BeforeMethod
    public void makeScheduler() {
        mTeam = "";
        mContinuation = false;
        mDeadline = Duration.ofSeconds(6);
        use(limits(1 << 30), "north", "south");
    }

    private static BatchLimits limits(long resultBytes) {
        return new BatchLimits(
                1,
                2,
                BATCH,
                Duration.ofMillis(150),
                Duration.ofMillis(18),
                resultBytes,
                Duration.ofSeconds(4));
    }

    private void use(BatchLimits limits, String... dataCentres) {
        mTime = new ManualTimeSource();
        mUpstreams = new SimUpstreams(mTime, limits, dataCentres);
        mScheduler = scheduler(100);
        mRecorder = new Recorder();
    }

    private BatchScheduler scheduler(int retries) {
        return scheduler(retries, new LocalStagePolicy());
    }

    private BatchScheduler scheduler(int retries, StagePolicy policy) {
        SharedRetryBudget budget =
                new SharedRetryBudget(mTime, 0, Duration.ofSeconds(10), () -> retries);
        return new BatchScheduler(
                mUpstreams, mUpstreams, budget, mTime, mTime, Supervisors.rethrowing(), policy);
    }

    private String submit(int pieces) {
        return submit(pieces, 0, 2000, Optional.empty());
    }

    /** Submits one stage of a new request and returns the identifier of the request. */
    private String submit(
            int pieces, int priority, int targetMillis, Optional<DataCentreId> preferred) {
        String request = "r" + mRequests++;
        long now = mTime.nanoTime();
        PieceUrgency urgency =
                new PieceUrgency(
                        priority,
                        now + Duration.ofMillis(targetMillis).toNanos(),
                        false,
                        false,
                        mTeam,
                        mContinuation);
        Stage stage = new Stage(request, pieces);
        List<PendingPiece> pending = new ArrayList<>();
        for (int number = 0; number < pieces; number++) {
            PieceWork work =
                    new PieceWork(
                            request,
                            0,
                            number,
                            now + mDeadline.toNanos(),
                            "key",
                            RESULT_BYTES,
                            Optional.empty());
            pending.add(new PendingPiece(work, urgency, preferred, stage, now));
        }
        mScheduler.submit(pending);
        return request;
    }

    private void run(int millis) {
        mTime.advance(Duration.ofMillis(millis));
    }

    @Test
    public void piecesSubmittedDuringACallShareTheNextCall() {
        use(limits(1 << 30), "north");
        for (int i = 0; i < 4; i++) {
            submit(1);
            run(10);
        }
        run(1000);
        assertEquals(mUpstreams.calls().size(), 2);
        assertEquals(mUpstreams.calls().get(1).size(), 3);
    }

    @Test
    public void stageThatFitsIntoOneCallIsNotSplitWhileUpstreamsAreFree() {
        use(limits(1 << 30), "north", "south", "east");
        submit(5);
        submit(5);
        run(1000);
        assertEquals(mUpstreams.calls().size(), 2);
        assertEquals(mUpstreams.calls().get(0).size(), 5);
    }

    /**
     * The load of a class of requests that arrives at 2.5 times its usual rate for some seconds.
     */
    @Test
    public void callsAreFullWhilePiecesWait() {
        for (int i = 0; i < 40; i++) {
            submit(5);
            run(20);
        }
        run(10_000);
        long full = mUpstreams.calls().stream().filter(call -> call.size() == BATCH).count();
        assertTrue(full >= 22, full + " full calls of " + mUpstreams.calls().size());
        assertEquals(mRecorder.mDone.size(), 40);
    }

    /** Results occupy memory of their upstreams until the next stage is complete. */
    @Test
    public void resultMemoryIsNotOvercommitted() {
        use(limits(20 * RESULT_BYTES), "north", "south");
        mRecorder.mFreeAfter = Duration.ofMillis(700);
        for (int i = 0; i < 40; i++) {
            submit(6);
            run(60);
        }
        run(20_000);
        assertEquals(mUpstreams.outOfMemoryCount(), 0);
        assertEquals(mUpstreams.heldCount(), 0);
    }

    /** A new coordinator does not know which results upstreams store. */
    @Test
    public void unexpectedlyFullUpstreamIsNotCalledUntilResultsAreFreed() {
        use(limits(12 * RESULT_BYTES), "north");
        submit(6);
        run(400);
        mUpstreams.forgetResults();
        submit(6);
        submit(6);
        run(1000);
        assertTrue(
                mUpstreams.outOfMemoryCount() <= 12,
                mUpstreams.outOfMemoryCount() + " out of memory");
    }

    /** Under overload, some requests miss their target in any order of execution. */
    @Test
    public void requestsThatWillBeLateDoNotDelayOthers() {
        use(limits(1 << 30), "north");
        List<String> late = new ArrayList<>();
        submit(BATCH);
        for (int i = 0; i < 6; i++) {
            late.add(submit(BATCH, 0, 100, Optional.empty()));
        }
        String inTime = submit(BATCH, 0, 700, Optional.empty());
        run(10_000);
        assertEquals(mRecorder.mDone.size(), 8);
        assertEquals(mRecorder.mDone.get(1), inTime);
        assertTrue(mRecorder.mDone.containsAll(late));
    }

    @Test
    public void urgentRequestsGoBeforeOthers() {
        use(limits(1 << 30), "north");
        submit(BATCH);
        String later = submit(BATCH, 2, 3000, Optional.empty());
        String urgent = submit(BATCH, 0, 3000, Optional.empty());
        run(5000);
        assertEquals(mRecorder.mDone.indexOf(urgent), 1);
        assertEquals(mRecorder.mDone.indexOf(later), 2);
    }

    @Test
    public void piecesAreExecutedInTheirPreferredDataCentre() {
        for (int i = 0; i < 4; i++) {
            submit(2, 0, 2000, Optional.of(new DataCentreId("south")));
            run(400);
        }
        for (ResultLocation location : mRecorder.mLocations) {
            assertEquals(location.upstream(), new UpstreamId("maker-1"));
        }
    }

    @Test
    public void preferredDataCentreIsIgnoredAfterAWhile() {
        for (int i = 0; i < 6; i++) {
            submit(BATCH, 0, 5000, Optional.of(new DataCentreId("south")));
        }
        run(5000);
        long north =
                mRecorder.mLocations.stream()
                        .filter(location -> location.upstream().equals(new UpstreamId("maker-0")))
                        .count();
        assertTrue(north > 0, "the free upstream in the other data centre is not used");
    }

    @Test
    public void failedCallIsRetriedAtAnotherUpstream() {
        mUpstreams.failCalls("maker-0");
        submit(3);
        submit(3);
        run(5000);
        assertEquals(mRecorder.mDone.size(), 2);
    }

    @Test
    public void pieceFailsAfterTheMaximumNumberOfAttempts() {
        use(limits(1 << 30), "north");
        mUpstreams.failCalls("maker-0");
        submit(3);
        run(5900);
        assertEquals(mUpstreams.calls().size(), 4);
        assertEquals(mRecorder.mFailures.get(0), StageFailure.Kind.FAILED);
    }

    /** All calls to an upstream group fail while requests keep arriving. */
    @Test
    public void retriesBeyondTheRetryBudgetAreDelayedLonger() {
        use(limits(1 << 30), "north");
        mScheduler = scheduler(0);
        mUpstreams.failCalls("maker-0");
        submit(3);
        run(390);
        assertEquals(mUpstreams.calls().size(), 1);
        run(400);
        assertEquals(mUpstreams.calls().size(), 2);
    }

    /**
     * An upstream reports that work takes ten times as long at this moment. Guards against a call
     * that is given up, and an upstream that is avoided, because of a slow moment.
     */
    @Test
    public void callToASlowUpstreamIsGivenMoreTime() {
        use(limits(1 << 30), "north");
        mScheduler = scheduler(100, new SharedStagePolicy(new IgnoringObserver()));
        submit(BATCH);
        long usual = mUpstreams.lastTimeout().toMillis();
        run(1000);
        mUpstreams.upstreams().get(0).reportTimeFactor(10, mTime.nanoTime());
        submit(BATCH);
        long slow = mUpstreams.lastTimeout().toMillis();
        assertTrue(slow >= 3 * usual, slow + " ms after " + usual);
    }

    /** Other schedulers keep all upstreams busy for a while. */
    @Test
    public void rejectedPiecesAreExecutedOnceUpstreamsHaveCapacity() {
        use(limits(1 << 30), "north");
        mUpstreams.setRejecting(true);
        submit(3);
        run(3000);
        mUpstreams.setRejecting(false);
        run(2000);
        assertEquals(mRecorder.mDone.size(), 1);
    }

    /** Late requests wait behind those that are in time until their deadline is out of reach. */
    @Test
    public void pieceThatCannotMeetItsDeadlineFailsBeforeItIsSent() {
        use(limits(1 << 30), "north");
        for (int i = 0; i < 60; i++) {
            submit(BATCH, 0, 20_000, Optional.empty());
        }
        submit(BATCH, 2, 100, Optional.empty());
        run(5900);
        assertTrue(mRecorder.mFailures.size() > 0, "failed 100 ms before the deadline");
        int calls = mUpstreams.calls().size();
        run(5000);
        assertEquals(mUpstreams.calls().size(), calls, "no call starts that would end too late");
    }

    @Test
    public void pieceFailsAtItsDeadline() {
        use(limits(1 << 30), "north");
        for (int i = 0; i < 40; i++) {
            submit(BATCH);
        }
        run(10_000);
        assertTrue(mRecorder.mFailures.contains(StageFailure.Kind.DEADLINE));
    }

    private void useSharedPolicy(long resultBytes) {
        use(limits(resultBytes), "north");
        mScheduler = scheduler(100, new SharedStagePolicy(new IgnoringObserver()));
        mRecorder.mFreeAfter = Duration.ofMillis(700);
    }

    /**
     * Less urgent small stages arrive without end and always find memory. Guards against a large
     * one that they pass until its caller gives up.
     */
    @Test
    public void memoryIsKeptForALargeStageThatFitsNowhere() {
        useSharedPolicy(9 * RESULT_BYTES);
        for (int i = 0; i < 10; i++) {
            submit(2, 1, 3000, Optional.empty());
            run(60);
        }
        String large = submit(BATCH, 0, 5000, Optional.empty());
        for (int i = 0; i < 30; i++) {
            submit(2, 1, 3000, Optional.empty());
            run(60);
        }
        assertTrue(mRecorder.mDone.contains(large), "passed by " + mRecorder.mDone.size());
    }

    /** Guards against a priority that is never served while more urgent requests wait. */
    @Test
    public void oneBatchInEightIsLedByTheStageThatHasWaitedLongest() {
        useSharedPolicy(1 << 30);
        String low = submit(BATCH, 2, 9000, Optional.empty());
        String lowToo = submit(BATCH, 2, 9000, Optional.empty());
        run(1);
        for (int i = 0; i < 15; i++) {
            submit(BATCH, 0, 9000, Optional.empty());
        }
        run(5800);
        assertEquals(mRecorder.mDone.get(0), low);
        assertEquals(mRecorder.mDone.indexOf(lowToo), 7);
    }

    /** Guards against a team whose few requests wait behind the many of another one. */
    @Test
    public void teamsShareEvenlyWhilePiecesWait() {
        useSharedPolicy(1 << 30);
        mTeam = "many";
        for (int i = 0; i < 16; i++) {
            submit(BATCH, 0, 9000, Optional.empty());
        }
        mTeam = "few";
        List<String> few = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            few.add(submit(BATCH, 0, 9000, Optional.empty()));
        }
        run(5800);
        assertTrue(mRecorder.mDone.subList(0, 11).containsAll(few), mRecorder.mDone.toString());
    }

    /** Guards against a resumed stream, whose caller is reading, behind all that are in time. */
    @Test
    public void continuedStreamRanksAsInTime() {
        useSharedPolicy(1 << 30);
        submit(BATCH);
        String late = submit(BATCH, 0, 0, Optional.empty());
        mContinuation = true;
        String continued = submit(BATCH, 0, 0, Optional.empty());
        mContinuation = false;
        submit(BATCH, 1, 3000, Optional.empty());
        run(5000);
        assertEquals(mRecorder.mDone.indexOf(continued), 1);
        assertEquals(mRecorder.mDone.indexOf(late), 3);
    }

    /**
     * Guards against a new stage that waits until its deadline although the queue shows at once
     * that it cannot be done, and against one that is refused although it has begun.
     */
    @Test
    public void newStageThatCannotEndInTimeIsRejectedAtOnce() {
        useSharedPolicy(1 << 30);
        for (int i = 0; i < 40; i++) {
            submit(BATCH, 0, 20_000, Optional.empty());
        }
        assertTrue(mRecorder.mDelays.size() > 0, "none rejected at once");
        int rejected = mRecorder.mDelays.size();
        assertTrue(mRecorder.mDelays.get(0).toMillis() >= 5000, mRecorder.mDelays.toString());
        mContinuation = true;
        submit(BATCH, 0, 20_000, Optional.empty());
        assertEquals(mRecorder.mDelays.size(), rejected, "a continued stream was rejected");
        run(10_000);
        int least = 40 - rejected / BATCH - 1;
        assertTrue(mRecorder.mDone.size() >= least, mRecorder.mDone.size() + " of " + least);
    }

    /**
     * Guards against a retried piece that fails beside an idle upstream because a full call, which
     * it does not need, would end too late.
     */
    @Test
    public void retriedPieceIsSentIfACallOfItsOwnEndsInTime() {
        use(limits(1 << 30), "north", "south");
        mScheduler = scheduler(100, new SharedStagePolicy(new IgnoringObserver()));
        mUpstreams.failCalls("maker-0");
        mDeadline = Duration.ofMillis(330);
        String retried = submit(1);
        run(1000);
        assertEquals(mUpstreams.calls().size(), 2);
        assertEquals(mRecorder.mDone, List.of(retried));
    }

    /**
     * Guards against pieces whose time is over that fail as if there had been no upstream, when the
     * group has no limits any more.
     */
    @Test
    public void latePieceFailsAtItsDeadlineAlsoWithoutLimits() {
        use(limits(1 << 30), "north");
        mScheduler = scheduler(0);
        mUpstreams.setRejecting(true);
        mDeadline = Duration.ofMillis(300);
        submit(1);
        run(5);
        mUpstreams.removeLimits();
        run(1000);
        assertEquals(mRecorder.mFailures, List.of(StageFailure.Kind.DEADLINE));
    }

    /** Records the outcomes of stages. */
    private static final class Recorder {

        private final List<String> mDone = new ArrayList<>();
        private final List<ResultLocation> mLocations = new ArrayList<>();
        private final List<StageFailure.Kind> mFailures = new ArrayList<>();
        private final List<Duration> mDelays = new ArrayList<>();
        private Duration mFreeAfter = Duration.ZERO;
    }

    /** Counts the completed pieces of one stage of one request and frees their results. */
    private final class Stage implements PieceListener {

        private final String mRequest;
        private final Map<UpstreamId, List<String>> mHandles = new HashMap<>();
        private int mIncomplete;

        Stage(String request, int pieces) {
            mRequest = request;
            mIncomplete = pieces;
        }

        @Override
        public void onCompleted(PieceWork work, ResultLocation location) {
            mRecorder.mLocations.add(location);
            mHandles.computeIfAbsent(location.upstream(), upstream -> new ArrayList<>())
                    .add(location.handle());
            mIncomplete--;
            if (mIncomplete == 0) {
                mRecorder.mDone.add(mRequest);
                mTime.schedule(mRecorder.mFreeAfter, this::free);
            }
        }

        private void free() {
            mHandles.forEach(
                    (upstream, handles) ->
                            mUpstreams.free(
                                    mUpstreams.directory().find(upstream).orElseThrow(), handles));
        }

        @Override
        public void onFailed(PieceWork work, StageFailure failure) {
            mRecorder.mFailures.add(failure.kind());
            failure.delay().ifPresent(mRecorder.mDelays::add);
        }
    }
}
