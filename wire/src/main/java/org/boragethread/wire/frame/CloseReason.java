package org.boragethread.wire.frame;

import java.util.Locale;

/** Why a connection between an entry and an agent ended. Each reason has a counter of its own. */
public enum CloseReason {
    /** The connection could not be made. */
    CONNECT_FAILED,
    /** The other side closed the connection or the network cut it. */
    CLOSED_BY_PEER,
    /** This process closed the connection on purpose. */
    CLOSED_HERE,
    /** A frame was not a valid message. */
    DAMAGED_FRAME,
    /** A frame was longer than the limit. */
    FRAME_TOO_LARGE,
    /** A message arrived that is not allowed in this state or is not known. */
    UNEXPECTED_FRAME,
    /** The other side has another shared key. */
    BAD_PROOF,
    /** The other side speaks another protocol version. */
    BAD_VERSION,
    /** Nothing arrived for too long. */
    SILENT;

    /** Returns the name used in metrics and logs, such as {@code bad-proof}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
