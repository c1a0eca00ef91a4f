package org.boragethread.core.stage;

import java.util.List;

/** Receives the outcome of a request's stages. At most one method is called, and only once. */
public interface StageListener {

    /** All pieces are complete; the handles are the results of the stages without dependents. */
    void onStagesDone(List<String> handles);

    /** The stages cannot be completed. */
    void onStagesFailed(StageFailure failure);
}
