package org.boragethread.core.stage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToLongBiFunction;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.RouteStage;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Executes the stages of one request in the order of their dependencies, and frees results as soon
 * as no stage needs them any more. Not thread-safe.
 */
public final class StageRun implements PieceListener {

    /** Transfers of this many bytes or more should not cross data centres. */
    private static final long LARGE_TRANSFER_BYTES = 400_000;

    /** Share of an upstream's memory from which on the inputs of a stage count as scarce memory. */
    private static final double SCARCE_MEMORY_SHARE = 0.05;

    private final StageRequest mRequest;
    private final Function<GroupId, ? extends PieceQueue> mQueues;
    private final ResultTracker mResultTracker;
    private final Function<UpstreamId, Optional<DataCentreId>> mDataCentres;
    private final TimeSource mTime;
    private final StageListener mListener;
    private final ResultLocation[][] mResults;
    private final int[] mIncomplete;
    private final boolean[] mStarted;
    private final long[] mStartedAt;
    private final boolean[] mFreed;
    private final List<PendingPiece> mPending = new ArrayList<>();
    private boolean mEnded;

    /**
     * Creates a run that has not started.
     *
     * @param queues queue for the pieces of each group
     * @param dataCentres data centre of each known upstream
     */
    public StageRun(
            StageRequest request,
            Function<GroupId, ? extends PieceQueue> queues,
            ResultTracker resultTracker,
            Function<UpstreamId, Optional<DataCentreId>> dataCentres,
            TimeSource time,
            StageListener listener) {
        mRequest = request;
        mQueues = queues;
        mResultTracker = resultTracker;
        mDataCentres = dataCentres;
        mTime = time;
        mListener = listener;
        int stages = request.stages().size();
        mResults = new ResultLocation[stages][];
        mIncomplete = new int[stages];
        mStarted = new boolean[stages];
        mStartedAt = new long[stages];
        mFreed = new boolean[stages];
        for (int i = 0; i < stages; i++) {
            mResults[i] = new ResultLocation[request.pieces()[i]];
            mIncomplete[i] = request.pieces()[i];
        }
    }

    /** Starts the stages without inputs. */
    public void start() {
        startReadyStages();
    }

    /** Cancels all pending pieces and frees all results. */
    public void cancel() {
        mEnded = true;
        mPending.forEach(PendingPiece::cancel);
        freeResults();
    }

    /** Frees all results that are still held. */
    public void freeResults() {
        for (int stage = 0; stage < mResults.length; stage++) {
            free(stage);
        }
    }

    @Override
    public void onCompleted(PieceWork work, ResultLocation location) {
        if (mEnded || mResults[work.stage()][work.number()] != null) {
            mResultTracker.free(
                    groupOf(work.stage()), location.upstream(), List.of(location.handle()));
            return;
        }
        mResultTracker.track(
                groupOf(work.stage()), location, work.resultBytes(), mStartedAt[work.stage()]);
        mResults[work.stage()][work.number()] = location;
        mIncomplete[work.stage()]--;
        if (mIncomplete[work.stage()] == 0) {
            recordDuration(work.stage());
            freeUnneededInputs(work.stage());
            startReadyStages();
        }
    }

    @Override
    public void onFailed(PieceWork work, StageFailure failure) {
        if (mEnded) {
            return;
        }
        cancel();
        mListener.onStagesFailed(failure);
    }

    /**
     * Reports how long a stage took, unless the request is late: it then waited behind all others,
     * so its time says nothing about their delay.
     */
    private void recordDuration(int stage) {
        long now = mTime.nanoTime();
        if (now < mRequest.targetNanos()) {
            mQueues.apply(groupOf(stage)).onStageDone(now - mStartedAt[stage], mRequest.priority());
        }
    }

    private void startReadyStages() {
        boolean done = true;
        for (int stage = 0; stage < mResults.length && !mEnded; stage++) {
            done &= mIncomplete[stage] == 0;
            if (!mStarted[stage] && mIncomplete[stage] > 0 && isReady(stage)) {
                mStarted[stage] = true;
                mStartedAt[stage] = mTime.nanoTime();
                submit(stage);
            }
        }
        if (done && !mEnded) {
            mEnded = true;
            mListener.onStagesDone(finalHandles());
        }
    }

    private boolean isReady(int stage) {
        for (int input : mRequest.stages().get(stage).after()) {
            if (mIncomplete[input] > 0) {
                return false;
            }
        }
        return true;
    }

    private void submit(int stage) {
        long minTimeAfter = timeAfter(stage, PieceQueue::minTime);
        long expectedTimeAfter =
                timeAfter(
                        stage, (queue, pieces) -> queue.expectedTime(pieces, mRequest.priority()));
        RouteStage definition = mRequest.stages().get(stage);
        Optional<DataCentreId> dataCentre = preferredDataCentre(stage);
        PieceUrgency urgency =
                new PieceUrgency(
                        mRequest.priority(),
                        mRequest.targetNanos() - expectedTimeAfter,
                        holdsInputs(stage),
                        hasDependents(stage),
                        mRequest.team(),
                        mRequest.isContinuation());
        List<PendingPiece> pieces = new ArrayList<>();
        for (int number = 0; number < mRequest.pieces()[stage]; number++) {
            PieceWork work =
                    new PieceWork(
                            mRequest.requestId(),
                            stage,
                            number,
                            mRequest.deadlineNanos() - minTimeAfter,
                            mRequest.key(),
                            definition.resultBytes(),
                            inputs(definition));
            pieces.add(new PendingPiece(work, urgency, dataCentre, this, mTime.nanoTime()));
        }
        mPending.addAll(pieces);
        mQueues.apply(definition.group()).submit(pieces);
    }

    /**
     * Returns the data centre in which a stage should be executed: that of its inputs if they are
     * large, as each piece fetches all inputs of its stage, or else the destination if the results
     * are large.
     */
    private Optional<DataCentreId> preferredDataCentre(int stage) {
        RouteStage definition = mRequest.stages().get(stage);
        long inputBytes = 0;
        Optional<DataCentreId> dataCentre = Optional.empty();
        for (int input : definition.after()) {
            inputBytes += mRequest.stages().get(input).resultBytes() * mResults[input].length;
            dataCentre = dataCentre.or(() -> dataCentreOf(input));
        }
        if (inputBytes * mResults[stage].length >= LARGE_TRANSFER_BYTES) {
            return dataCentre;
        }
        boolean large = definition.resultBytes() >= LARGE_TRANSFER_BYTES;
        return large && !hasDependents(stage) ? mRequest.destination() : Optional.empty();
    }

    private boolean holdsInputs(int stage) {
        for (int input : mRequest.stages().get(stage).after()) {
            long bytes = mRequest.stages().get(input).resultBytes() * mResults[input].length;
            if (bytes >= SCARCE_MEMORY_SHARE * mQueues.apply(groupOf(input)).resultMemory()) {
                return true;
            }
        }
        return false;
    }

    private Optional<DataCentreId> dataCentreOf(int stage) {
        return mResults[stage].length == 0
                ? Optional.empty()
                : mDataCentres.apply(mResults[stage][0].upstream());
    }

    private GroupId groupOf(int stage) {
        return mRequest.stages().get(stage).group();
    }

    /**
     * Returns the time from the end of a stage to the end of the last stage that depends on it, in
     * nanoseconds.
     */
    private long timeAfter(int stage, ToLongBiFunction<PieceQueue, Integer> stageTime) {
        long longest = 0;
        for (int next = 0; next < mResults.length; next++) {
            RouteStage definition = mRequest.stages().get(next);
            if (mResults[next].length > 0 && definition.after().contains(stage)) {
                long nextTime =
                        stageTime.applyAsLong(
                                mQueues.apply(definition.group()), mResults[next].length);
                longest = Math.max(longest, nextTime + timeAfter(next, stageTime));
            }
        }
        return longest;
    }

    private Optional<List<String>> inputs(RouteStage definition) {
        if (definition.after().isEmpty()) {
            return Optional.empty();
        }
        List<String> handles = new ArrayList<>();
        for (int input : definition.after()) {
            addHandles(input, handles);
        }
        return Optional.of(handles);
    }

    private List<String> finalHandles() {
        List<String> handles = new ArrayList<>();
        for (int stage = 0; stage < mResults.length; stage++) {
            if (!hasDependents(stage)) {
                addHandles(stage, handles);
            }
        }
        return handles;
    }

    private void addHandles(int stage, List<String> handles) {
        for (ResultLocation location : mResults[stage]) {
            handles.add(location.handle());
        }
    }

    private boolean hasDependents(int stage) {
        return RouteStage.hasDependents(mRequest.stages(), mRequest.pieces(), stage);
    }

    /** Frees the inputs of a completed stage that no incomplete stage needs. */
    private void freeUnneededInputs(int stage) {
        for (int input : mRequest.stages().get(stage).after()) {
            boolean unneeded = true;
            for (int other = 0; other < mResults.length; other++) {
                boolean isInput = mRequest.stages().get(other).after().contains(input);
                unneeded &= !isInput || mIncomplete[other] == 0;
            }
            if (unneeded) {
                free(input);
            }
        }
    }

    private void free(int stage) {
        if (mFreed[stage]) {
            return;
        }
        mFreed[stage] = true;
        Map<UpstreamId, List<String>> byUpstream = new HashMap<>();
        for (ResultLocation location : mResults[stage]) {
            if (location != null) {
                byUpstream
                        .computeIfAbsent(location.upstream(), upstream -> new ArrayList<>())
                        .add(location.handle());
            }
        }
        byUpstream.forEach(
                (upstream, handles) -> mResultTracker.free(groupOf(stage), upstream, handles));
    }
}
