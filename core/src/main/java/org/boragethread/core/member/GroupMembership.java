package org.boragethread.core.member;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.boragethread.core.callback.Activity;
import org.boragethread.core.callback.Supervisor;
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

    /** Renewals per interval while they fail during a stop. */
    private static final int RENEWALS_PER_INTERVAL = 4;

    private final MemberGroup mGroup;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final PartitionLease mLease;
    private final Duration mInterval;
    private final Consumer<List<String>> mListener;
    private final Activity mActivity;
    private long mGeneration;
    private StoreEra mEra = StoreEra.UNKNOWN;
    private long mReportedGeneration = -1;
    private Consumer<Either<ReadFailure, Boolean>> mOnLeft = left -> {};
    private boolean mLeaving;
    private boolean mLeft;
    private long mStopNanos;

    /**
     * Creates a membership that has not started.
     *
     * @param lease lease of the partitions that are assigned to this process
     * @param interval time between renewals
     * @param listener gets the names of all members whenever they may have changed, and again if it
     *     threw
     * @param supervisor told of each callback that threw
     */
    public GroupMembership(
            MemberGroup group,
            Scheduler scheduler,
            TimeSource time,
            PartitionLease lease,
            Duration interval,
            Consumer<List<String>> listener,
            Supervisor supervisor) {
        mGroup = group;
        mScheduler = scheduler;
        mTime = time;
        mLease = lease;
        mInterval = interval;
        mListener = listener;
        mActivity = supervisor.supervise(this::restart);
    }

    /** Joins the group, and renews the membership until {@link #stop} is called. */
    public void start() {
        mActivity.run(this::join);
    }

    private void join() {
        if (!mLeaving) {
            ClockReading sentAt = ClockReading.now(mTime);
            mGroup.join(mGeneration, mActivity.bind(response -> onJoined(sentAt, response)));
        }
    }

    private void restart() {
        if (mLeaving) {
            leaveOnce();
        } else {
            mScheduler.schedule(mInterval, mActivity.bind(this::join));
        }
    }

    /**
     * Leaves the group, as soon as the lease holds for the rest of a time, and gives up the leased
     * partitions at its end. Others that get them do not use them before the lease would have
     * expired.
     *
     * @param remaining time for which this process still serves
     * @param onLeft gets the response to leaving
     */
    public void stop(Duration remaining, Consumer<Either<ReadFailure, Boolean>> onLeft) {
        mOnLeft = onLeft;
        mStopNanos = mTime.nanoTime() + remaining.toNanos();
        Duration membership = remaining.minus(mLease.lifetime());
        if (membership.isNegative() || membership.isZero()) {
            mActivity.run(this::renewAndLeave);
        } else {
            mScheduler.schedule(membership, () -> mActivity.run(this::renewAndLeave));
        }
        mScheduler.schedule(remaining, mLease::release);
    }

    /** Leaves the group at once, unless it has left, because this process has nothing to do. */
    public void leave() {
        mLeaving = true;
        mActivity.run(this::leaveOnce);
    }

    private void leaveOnce() {
        if (!mLeft) {
            mLeft = true;
            mGroup.leave(mOnLeft);
        }
    }

    /** Returns whether this process has begun to leave the group. */
    public boolean isLeaving() {
        return mLeaving;
    }

    /**
     * Renews the lease once more and leaves. A renewal that fails is repeated while the lease would
     * expire before the process stops serving.
     */
    private void renewAndLeave() {
        if (mLeft) {
            return;
        }
        mLeaving = true;
        ClockReading sentAt = ClockReading.now(mTime);
        mGroup.join(mGeneration, mActivity.bind(response -> onLastRenewal(sentAt, response)));
    }

    private void onLastRenewal(ClockReading sentAt, Either<ReadFailure, JoinedGroup> response) {
        if (mLeft) {
            return;
        }
        if (response.isRight() && isUnchanged(response.get())) {
            mLease.renew(sentAt, response.get().partitions());
        }
        boolean isServing = mTime.nanoTime() < mStopNanos;
        if (response.isLeft() && isServing && mLease.expiresBefore(mStopNanos)) {
            mScheduler.schedule(
                    mInterval.dividedBy(RENEWALS_PER_INTERVAL),
                    mActivity.bind(this::renewAndLeave));
            return;
        }
        leaveOnce();
    }

    /**
     * Returns whether no partition has moved since the last renewal. A partition that moves here
     * and away again within the last renewal would not be seen to move by its holder.
     */
    private boolean isUnchanged(JoinedGroup joined) {
        return joined.generation() == mGeneration && !joined.era().differsFrom(mEra);
    }

    private void onJoined(ClockReading sentAt, Either<ReadFailure, JoinedGroup> response) {
        if (mLeaving) {
            return;
        }
        mScheduler.schedule(mInterval, mActivity.bind(this::join));
        if (response.isRight()) {
            mLease.renew(sentAt, response.get().partitions());
            mGeneration = response.get().generation();
            if (response.get().era().differsFrom(mEra)) {
                // The same generation may have other members now.
                mReportedGeneration = -1;
            }
            mEra = response.get().era().orIfUnknown(mEra);
            if (mGeneration != mReportedGeneration) {
                mGroup.members(mActivity.bind(this::onMembers));
            }
        }
    }

    private void onMembers(Either<ReadFailure, List<String>> response) {
        if (mLeaving || response.isLeft()) {
            return;
        }
        mListener.accept(response.get());
        mReportedGeneration = mGeneration;
    }
}
