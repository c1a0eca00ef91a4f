package org.boragethread.wire.frame;

/** Receives events of connections between entries and agents, for metrics. */
public interface WireEvents {

    /** Ignores all events. */
    WireEvents NONE =
            new WireEvents() {
                @Override
                public void closed(CloseReason reason) {}

                @Override
                public void strayResult() {}
            };

    /** Called when a connection was closed or could not be established. */
    void closed(CloseReason reason);

    /** Called when a result was discarded because it matches no pending attempt. */
    void strayResult();
}
