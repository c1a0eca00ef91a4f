package org.boragethread.wire.frame;

import java.util.Locale;

/** Why a connection between an entry and an agent was closed. Each reason has its own counter. */
public enum CloseReason {
    /** The connection could not be established. */
    CONNECT_FAILED,
    /** The peer closed the connection, or the network interrupted it. */
    CLOSED_BY_PEER,
    /** This process closed the connection on purpose. */
    CLOSED_HERE,
    /** A frame was corrupted or not a valid message. */
    DAMAGED_FRAME,
    /** A handler of this process threw; the exception is in the log. */
    HANDLER_FAILED,
    /** A frame exceeded the maximum length. */
    FRAME_TOO_LARGE,
    /** A message was unknown, or not allowed in the current state. */
    UNEXPECTED_FRAME,
    /** The peer's proof does not match the shared key. */
    BAD_PROOF,
    /** The peer uses another protocol version. */
    BAD_VERSION,
    /** No frame was received within the idle timeout. */
    SILENT;

    /** Returns the label used in metrics and logs, such as {@code bad-proof}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
