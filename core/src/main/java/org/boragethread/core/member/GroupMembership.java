package org.boragethread.core.member;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.ReadFailure;
import org.boragethread.core.follow.StoreEra;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;

/**
 * Regularly renews the membership of this process in a group, and notifies a listener of its
 * members. While the group cannot be reached, the last known members remain valid. Not thread-safe.
 */
public final class GroupMembership {

    private final MemberGroup mGroup;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final PartitionLease mLease;
    private final Duration mInterval;
    private final Consumer<List<String>> mListener;
    private long mGeneration;
    private StoreEra mEra = StoreEra.UNKNOWN;
    private long mReportedGeneration = -1;
    private boolean mStopped;

    /**
     * Creates a membership that has not started.
     *
     * @param lease lease of the partitions that are assigned to this process
     * @param interval time between renewals
     * @param listener gets the names of all members whenever they may have changed
     */
    public GroupMembership(
            MemberGroup group,
            Scheduler scheduler,
            TimeSource time,
            PartitionLease lease,
            Duration interval,
            Consumer<List<String>> listener) {
        mGroup = group;
        mScheduler = scheduler;
        mTime = time;
        mLease = lease;
        mInterval = interval;
        mListener = listener;
    }

    /** Joins the group, and renews the membership until {@link #stop} is called. */
    public void start() {
        if (!mStopped) {
            ClockReading sentAt = ClockReading.now(mTime);
            mGroup.join(mGeneration, response -> onJoined(sentAt, response));
        }
    }

    /** Stops the renewals and leaves the group. */
    public void stop(Consumer<Either<ReadFailure, Boolean>> callback) {
        mStopped = true;
        mLease.release();
        mGroup.leave(callback);
    }

    private void onJoined(ClockReading sentAt, Either<ReadFailure, JoinedGroup> response) {
        if (mStopped) {
            return;
        }
        if (response.isRight()) {
            mLease.renew(sentAt, response.get().partitions());
            mGeneration = response.get().generation();
            if (response.get().era().differsFrom(mEra)) {
                // The same generation may have other members now.
                mReportedGeneration = -1;
            }
            mEra = response.get().era().orIfUnknown(mEra);
            if (mGeneration != mReportedGeneration) {
                mGroup.members(this::onMembers);
            }
        }
        mScheduler.schedule(mInterval, this::start);
    }

    private void onMembers(Either<ReadFailure, List<String>> response) {
        if (mStopped || response.isLeft()) {
            return;
        }
        mReportedGeneration = mGeneration;
        mListener.accept(response.get());
    }
}
