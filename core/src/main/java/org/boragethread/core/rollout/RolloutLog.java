package org.boragethread.core.rollout;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.boragethread.core.follow.ReadFailure;
import org.boragethread.model.upstream.GroupId;

/**
 * The recorded states of roll-outs. Each callback is called once, on the caller's event loop; the
 * implementation ends a call that gets no response after a time limit.
 */
public interface RolloutLog {

    /** Result of an append. */
    enum AppendResult {
        APPENDED,
        /** The partition does not end at the offset; nothing was appended. */
        END_MOVED,
        /** The state may have been appended, or may be later, while the partition ends there. */
        UNKNOWN
    }

    /** Reads the state and the end of the partition. The state must be complete up to the end. */
    void read(GroupId group, Consumer<Either<ReadFailure, RolloutRead>> callback);

    /**
     * Appends the public record and the state atomically, if the partition still ends at an offset.
     *
     * @param end offset at which the partition ended when the state was read
     */
    void append(RolloutState state, long end, Consumer<AppendResult> callback);
}
