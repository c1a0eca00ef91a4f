package org.boragethread.entry.gateway;

import java.util.List;
import java.util.Optional;
import org.boragethread.core.stage.StageFailure;
import org.boragethread.core.stage.StageListener;
import org.boragethread.core.stage.StageRequest;
import org.boragethread.core.stage.StageRun;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.platform.store.PlatformHeaders;

/** The stages of one request, which may be run again when their results are lost. */
final class StagePhase implements StageListener {

    private static final int MAX_RUNS = 3;

    private final Gateway mGateway;
    private final CallerRequest mRequest;
    private final Listener mListener;
    private Optional<StageRun> mRun = Optional.empty();
    private List<String> mResults = List.of();
    private int mRuns;

    /** Learns how the stages end. */
    interface Listener {

        /** The request can be sent. */
        void onStagesReady();

        /** The stages cannot be completed; the request was not sent. */
        void onStagesGivenUp(StageFailure failure);
    }

    StagePhase(Gateway gateway, CallerRequest request, Listener listener) {
        mGateway = gateway;
        mRequest = request;
        mListener = listener;
    }

    /** Runs all stages, with large results in the data centre in which they will be used. */
    void run(Admitted admitted, Optional<DataCentreId> near) {
        mRuns++;
        StageRequest request =
                new StageRequest(
                        mRequest.id(),
                        admitted.route().stages(),
                        admitted.pieces(),
                        mRequest.headers().get(PlatformHeaders.PIECE_KEY, ""),
                        admitted.deadlineNanos() - admitted.leastAnswerNanos(),
                        admitted.targetNanos() - admitted.leastAnswerNanos(),
                        admitted.priority(),
                        near);
        StageRun run =
                new StageRun(
                        request,
                        mGateway.stages()::queue,
                        mGateway.stages(),
                        id -> mGateway.directory().find(id).map(node -> node.entry().dataCentre()),
                        mGateway.time(),
                        this);
        mRun = Optional.of(run);
        run.start();
    }

    /** Returns the handles of the results that the request needs. */
    List<String> results() {
        return mResults;
    }

    /** Tells whether lost results may be made again. */
    boolean mayRunAgain() {
        return mRuns < MAX_RUNS;
    }

    /** Frees the results. */
    void release() {
        mRun.ifPresent(StageRun::freeResults);
        mRun = Optional.empty();
    }

    /** Gives up what still runs, and frees the results. */
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
        mListener.onStagesGivenUp(failure);
    }
}
