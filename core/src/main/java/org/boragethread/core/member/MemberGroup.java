package org.boragethread.core.member;

import io.vavr.control.Either;
import java.util.List;
import java.util.function.Consumer;
import org.boragethread.core.follow.ReadFailure;

/** A group of processes of which this one is a member. Each receiver is called once. */
public interface MemberGroup {

    /**
     * Joins the group or stays in it.
     *
     * @param generation the last generation received; 0 at first
     * @param receiver gets the present generation, which grows with each change of members
     */
    void join(long generation, Consumer<Either<ReadFailure, Long>> receiver);

    /** Reads the members. */
    void members(Consumer<Either<ReadFailure, List<String>>> receiver);

    /** Leaves the group. */
    void leave(Consumer<Either<ReadFailure, Boolean>> receiver);
}
