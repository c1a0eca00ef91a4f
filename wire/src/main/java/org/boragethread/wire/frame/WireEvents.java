package org.boragethread.wire.frame;

/** Receives events of connections between entries and agents, for metrics. */
public interface WireEvents {

    /** Ignores all events. */
    WireEvents NONE =
            new WireEvents() {
                @Override
                public void onClosed(CloseReason reason) {}

                @Override
                public void onUnmatchedResult() {}
            };

    /** Called when a connection was closed or could not be established. */
    void onClosed(CloseReason reason);

    /** Called when a result was discarded because it matches no pending attempt. */
    void onUnmatchedResult();

    /** Called when a callback for a call or a connection threw. */
    default void onCallbackFailed() {}
}
