package org.boragethread.core.stage;

import java.util.List;

/** Learns how the stages of a request end; called once. */
public interface StageListener {

    /** All pieces are made; these are the results of the stages that no other stage follows. */
    void onStagesDone(List<String> handles);

    /** The stages cannot be completed. */
    void onStagesFailed(StageFailure failure);
}
