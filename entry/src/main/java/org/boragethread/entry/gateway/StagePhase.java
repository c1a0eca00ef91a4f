package org.boragethread.entry.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.boragethread.core.stage.StageFailure;
import org.boragethread.core.stage.StageListener;
import org.boragethread.core.stage.StageRequest;
import org.boragethread.core.stage.StageRun;
import org.boragethread.core.upstream.ResponseTimeModel;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.platform.store.PlatformHeaders;

/** Runs the stages of one request, and reruns them when their results are lost. */
final class StagePhase implements StageListener {

    private static final int MAX_RUN_COUNT = 3;

    private final Gateway mGateway;
    private final CallerRequest mRequest;
    private final ForwardedStream mStream;
    private final EventDeadline mDeadline;
    private final BooleanSupplier mTakenUp;
    private final Listener mListener;
    private Optional<StageRun> mRun = Optional.empty();
    private List<String> mResults = List.of();
    private int mRunCount;
    private Optional<Duration> mRejectionDelay = Optional.empty();

    /** Receives the outcome of the stages. */
    interface Listener {

        /** All results are available, so the request can be sent. */
        void onStagesReady();

        /** The stages cannot be completed; the request was not sent. */
        void onStagesFailed(StageFailure failure);
    }

    /**
     * Creates the stages of one request.
     *
     * @param takenUp returns whether the caller takes up a stream of which it has a part
     */
    StagePhase(
            Gateway gateway,
            CallerRequest request,
            ForwardedStream stream,
            BooleanSupplier takenUp,
            Listener listener) {
        mGateway = gateway;
        mRequest = request;
        mStream = stream;
        mDeadline =
                new EventDeadline(
                        gateway.settings().scheduling(),
                        gateway.time(),
                        request.arrivedAt().nanos(),
                        stream::lastEventAt);
        mTakenUp = takenUp;
        mListener = listener;
    }

    /**
     * Returns whether stages continue a request for which work was done: its caller has a part of
     * the stream, from this response or an earlier one, or its stages ran before.
     *
     * @param run number of this run of the stages, 1 for the first
     */
    static boolean isContinuation(boolean takenUp, boolean hasForwarded, int run) {
        return takenUp || hasForwarded || run > 1;
    }

    /** Returns the time after which no work on the request is of use. */
    Duration remaining(AdmittedRequest admitted) {
        long left = mDeadline.nanos(admitted) - mGateway.time().nanoTime();
        return Duration.ofNanos(Math.max(0, left));
    }

    /** Returns the time in which the stages have to end. */
    Duration timeLeft(AdmittedRequest admitted, ResponseTimeModel responseTimes) {
        return mDeadline.timeLeft(admitted, responseTimes);
    }

    /**
     * Runs all stages. Large results are placed in the data centre that will use them.
     *
     * @param preferred that data centre, if it is known
     * @param responseTimes response times of the group that serves the request after its stages
     */
    void run(
            AdmittedRequest admitted,
            Optional<DataCentreId> preferred,
            ResponseTimeModel responseTimes) {
        mRunCount++;
        long responseNanos = admitted.expectedResponseNanos(responseTimes);
        StageRequest request =
                new StageRequest(
                        mRequest.id(),
                        admitted.route().stages(),
                        admitted.pieces(),
                        mRequest.headers().get(PlatformHeaders.PIECE_KEY, ""),
                        mDeadline.nanos(admitted) - responseNanos,
                        admitted.targetNanos() - responseNanos,
                        admitted.priority(),
                        preferred,
                        admitted.team(),
                        isContinuation(
                                mTakenUp.getAsBoolean(),
                                mStream.lastEventAt().isPresent(),
                                mRunCount));
        StageRun run =
                new StageRun(
                        request,
                        mGateway.stageRouter()::queue,
                        mGateway.stageRouter(),
                        id -> mGateway.directory().find(id).map(node -> node.entry().dataCentre()),
                        mGateway.time(),
                        this);
        mRun = Optional.of(run);
        run.start();
    }

    /** Returns the delay before a retry of a request whose stages cannot end in time. */
    Duration retryAfter(AdmittedRequest admitted) {
        long nanos = admitted.deadlineNanos() - mGateway.time().nanoTime();
        return RetryDelays.afterStages(
                mGateway.settings().scheduling().isShared(),
                mRejectionDelay,
                Duration.ofNanos(Math.max(0, nanos)),
                admitted.expectedStageTime(mGateway),
                mRequest.unitHash());
    }

    /** Returns the handles of the results that the request takes as input. */
    List<String> resultHandles() {
        return mResults;
    }

    /** Returns whether the stages may be rerun after results were lost. */
    boolean canRerun() {
        return mRunCount < MAX_RUN_COUNT;
    }

    /** Frees the results at their upstreams. */
    void release() {
        mRun.ifPresent(StageRun::freeResults);
        mRun = Optional.empty();
    }

    /** Cancels running stages and frees the results. */
    void cancel() {
        mRun.ifPresent(StageRun::cancel);
        mRun = Optional.empty();
    }

    @Override
    public void onStagesDone(List<String> handles) {
        mResults = handles;
        mListener.onStagesReady();
    }

    @Override
    public void onStagesFailed(StageFailure failure) {
        mRun = Optional.empty();
        mRejectionDelay = failure.delay();
        mListener.onStagesFailed(failure);
    }
}
