package org.boragethread.core.member;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.boragethread.core.follow.ReadFailure;
import org.boragethread.core.time.Scheduler;

/**
 * Keeps this process in its group and tells who else is in it. While the group cannot be reached,
 * the members last seen stand. Not safe for use by several threads.
 */
public final class MembershipKeeper {

    private final MemberGroup mGroup;
    private final Scheduler mScheduler;
    private final Duration mInterval;
    private final Consumer<List<String>> mListener;
    private long mGeneration;
    private long mKnownGeneration = -1;
    private boolean mStopped;

    /**
     * Makes a keeper that has not started.
     *
     * @param interval time between joins
     * @param listener gets all members whenever they may have changed
     */
    public MembershipKeeper(
            MemberGroup group,
            Scheduler scheduler,
            Duration interval,
            Consumer<List<String>> listener) {
        mGroup = group;
        mScheduler = scheduler;
        mInterval = interval;
        mListener = listener;
    }

    /** Joins the group and stays in it. */
    public void start() {
        if (!mStopped) {
            mGroup.join(mGeneration, this::onJoined);
        }
    }

    /** Leaves the group. */
    public void stop(Consumer<Either<ReadFailure, Boolean>> receiver) {
        mStopped = true;
        mGroup.leave(receiver);
    }

    private void onJoined(Either<ReadFailure, Long> answer) {
        if (mStopped) {
            return;
        }
        if (answer.isRight()) {
            mGeneration = answer.get();
            if (mGeneration != mKnownGeneration) {
                mGroup.members(this::onMembers);
            }
        }
        mScheduler.schedule(mInterval, this::start);
    }

    private void onMembers(Either<ReadFailure, List<String>> answer) {
        if (mStopped || answer.isLeft()) {
            return;
        }
        mKnownGeneration = mGeneration;
        mListener.accept(answer.get());
    }
}
