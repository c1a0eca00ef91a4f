package org.boragethread.entry.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.boragethread.core.rollout.ResponseCounter;
import org.boragethread.core.rollout.RolloutEvidence;
import org.boragethread.core.rollout.RolloutOrder;
import org.boragethread.core.rollout.RolloutTable;
import org.boragethread.core.rollout.VersionSide;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;

/** Counts the sends of this process to one group, and how they ended. Not thread-safe. */
final class GroupUses {

    /**
     * Multiple of the predicted response time from which a call that was given up counts as a slow
     * response: callers give up at a version that hangs, before it ever responds. The comparison
     * takes 2.5 times the old version's median as slow.
     */
    private static final double SLOW_RELATIVE_TIME = 2.5;

    private final GroupId mGroup;
    private final RolloutTable mTable;
    private final TimeSource mTime;
    private final RolloutMetrics mMetrics;
    private final Map<Optional<SoftwareVersion>, Integer> mInFlight = new HashMap<>();
    private Optional<RolloutOrder> mOrder = Optional.empty();
    private ResponseCounter mCounter;

    GroupUses(GroupId group, RolloutTable table, TimeSource time, RolloutMetrics metrics) {
        mGroup = group;
        mTable = table;
        mTime = time;
        mMetrics = metrics;
        mCounter = new ResponseCounter(time);
    }

    /** Starts to count for an order; without effect if it is the same as before. */
    void setOrder(RolloutOrder order) {
        if (!mOrder.equals(Optional.of(order))) {
            mOrder = Optional.of(order);
            mCounter = new ResponseCounter(mTime);
        }
    }

    RolloutEvidence evidence() {
        return mCounter.evidence();
    }

    /** Returns the number of calls in flight at upstreams that may run another version. */
    long inFlightOutside(SoftwareVersion target) {
        return mInFlight.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(Optional.of(target)))
                .mapToLong(Map.Entry::getValue)
                .sum();
    }

    UpstreamUse begin(String route, UpstreamNode node) {
        Optional<SoftwareVersion> version = node.softwareVersion();
        mInFlight.merge(version, 1, Integer::sum);
        boolean isCold = node.isCold(mTime.nanoTime());
        return new CountedUse(
                route, node.entry().id(), version, mOrder, mTable.side(mGroup, version), isCold);
    }

    /** A call that is counted for the order that was known when it was sent. */
    private final class CountedUse implements UpstreamUse {

        private final String mRoute;
        private final UpstreamId mUpstream;
        private final Optional<SoftwareVersion> mVersion;
        private final Optional<RolloutOrder> mSentUnder;
        private final Optional<VersionSide> mSide;
        private final boolean mCold;
        private Optional<OptionalDouble> mStarted = Optional.empty();
        private boolean mCounted;
        private boolean mEnded;

        CountedUse(
                String route,
                UpstreamId upstream,
                Optional<SoftwareVersion> version,
                Optional<RolloutOrder> order,
                Optional<VersionSide> side,
                boolean cold) {
            mRoute = route;
            mUpstream = upstream;
            mVersion = version;
            mSentUnder = order;
            mSide = side;
            mCold = cold;
        }

        private boolean isRelevant() {
            return mSide.isPresent() && mSentUnder.equals(mOrder);
        }

        @Override
        public void onStarted(OptionalDouble relativeTime) {
            mStarted = Optional.of(relativeTime);
        }

        @Override
        public void onResponse(OptionalDouble relativeTime) {
            countResponse(mStarted.orElse(relativeTime), "responded");
        }

        @Override
        public void onAbandoned(double relativeTime) {
            if (mStarted.isEmpty() && relativeTime >= SLOW_RELATIVE_TIME) {
                countResponse(OptionalDouble.of(relativeTime), "abandoned");
            }
        }

        @Override
        public void onGivenUp(double relativeTime) {
            if (mStarted.isPresent()) {
                onFailure();
            } else {
                onAbandoned(relativeTime);
            }
        }

        private void countResponse(OptionalDouble relativeTime, String outcome) {
            if (mCounted) {
                return;
            }
            mCounted = true;
            if (isRelevant()) {
                OptionalDouble time = mCold ? OptionalDouble.empty() : relativeTime;
                mCounter.onResponse(mRoute, mSide.get(), time);
                mMetrics.onResponse(mGroup, mRoute, mSide.get(), outcome);
            }
        }

        @Override
        public void onFailure() {
            if (mCounted) {
                return;
            }
            mCounted = true;
            if (isRelevant()) {
                mCounter.onFailure(mRoute, mSide.get(), mUpstream);
                mMetrics.onResponse(mGroup, mRoute, mSide.get(), "failed");
            }
        }

        @Override
        public void onEnded() {
            if (!mEnded) {
                mEnded = true;
                mInFlight.computeIfPresent(
                        mVersion, (version, count) -> count > 1 ? count - 1 : null);
            }
        }
    }
}
