package org.boragethread.core.member;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;
import org.boragethread.core.follow.ReadFailure;

/** Access to a group of processes of which this one is a member. Each callback is called once. */
public interface MemberGroup {

    /**
     * Joins the group or renews the membership.
     *
     * @param generation the last generation received; 0 at first
     * @param callback gets the current generation and the partitions assigned to this process
     */
    void join(long generation, Consumer<Either<ReadFailure, JoinedGroup>> callback);

    /** Reads the names of all members. */
    void members(Consumer<Either<ReadFailure, List<String>>> callback);

    void leave(Consumer<Either<ReadFailure, Boolean>> callback);
}
