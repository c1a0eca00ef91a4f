package org.boragethread.core.rollout;

/** Listener for decisions about roll-outs. */
public interface RolloutEvents {

    /** Ignores all events. */
    RolloutEvents NONE = new RolloutEvents() {};

    /**
     * Called when this process has recorded a state.
     *
     * @param reason inputs of the decision, for the log
     */
    default void onRecorded(RolloutState state, String reason) {}

    /** Called once per order if something keeps it from going on; the message names the remedy. */
    default void onBlocked(RolloutOrder order, String message) {}

    /** Called when the log could not be read or an append failed. */
    default void onLogFailure(String message) {}
}
