package org.boragethread.wire.frame;

/** Receives countable events of connections. */
public interface WireEvents {

    /** Ignores all events. */
    WireEvents NONE =
            new WireEvents() {
                @Override
                public void closed(CloseReason reason) {}

                @Override
                public void strayResult() {}
            };

    /** A connection ended or could not be made. */
    void closed(CloseReason reason);

    /** A result arrived that matches no waiting attempt; it was dropped. */
    void strayResult();
}
