package org.boragethread.core.rollout;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;

/** Versions of one group, for {@link RolloutTable}. Not thread-safe. */
final class GroupVersions {

    /** Time in which the announcements of upstreams that stop at the end of an order disappear. */
    private static final long STOP_NANOS = Duration.ofSeconds(10).toNanos();

    private final TimeSource mTime;
    private final RolloutBounds mBounds;
    private final VersionSightings mSightings;
    private final Map<UpstreamId, SoftwareVersion> mUpstreams = new HashMap<>();
    private final Set<SoftwareVersion> mAnnounced = new HashSet<>();
    private Optional<RolloutRequest> mRequest = Optional.empty();
    private Optional<RolloutState> mState = Optional.empty();
    private long mPhaseSince;
    private TrialBudget mBudget;
    private Set<UpstreamId> mTrialUpstreams = Set.of();
    private Optional<Long> mOnlyForbiddenSince = Optional.empty();
    private final Set<SoftwareVersion> mEverAnnounced = new HashSet<>();

    GroupVersions(
            TimeSource time, RolloutBounds bounds, Supplier<Optional<ClockReading>> ordersReadAt) {
        mTime = time;
        mBounds = bounds;
        mSightings = new VersionSightings(time, ordersReadAt);
        mBudget = new TrialBudget(bounds.entryShare());
    }

    void setUpstreams(Collection<UpstreamAnnouncement> upstreams) {
        mUpstreams.clear();
        mAnnounced.clear();
        for (UpstreamAnnouncement upstream : upstreams) {
            upstream.softwareVersion()
                    .ifPresent(
                            version -> {
                                mSightings.onAnnounced(version);
                                mAnnounced.add(version);
                                mEverAnnounced.add(version);
                                mUpstreams.put(upstream.id(), version);
                            });
        }
        selectTrialUpstreams();
        updateOnlyForbidden();
    }

    void setRequest(Optional<RolloutRequest> request) {
        mRequest = request;
    }

    void setState(RolloutState state) {
        boolean isSameOrder = mState.filter(known -> isSameOrder(known, state)).isPresent();
        if (mState.filter(known -> isOutdated(state, known)).isPresent()) {
            return;
        }
        if (!isSameOrder) {
            mBudget = new TrialBudget(mBounds.entryShare());
        }
        if (!isSameOrder || state.phase() != mState.get().phase()) {
            mPhaseSince = mTime.nanoTime();
        }
        mState = Optional.of(state);
        selectTrialUpstreams();
        updateOnlyForbidden();
    }

    /**
     * Returns whether a state is of an older copy of the store. An end is replaced only by another
     * end that prevails over it, so that all entries agree again after two were recorded.
     */
    private boolean isOutdated(RolloutState state, RolloutState known) {
        if (!isSameOrder(state, known)) {
            return state.isOutdatedBy(known, mRequest);
        }
        if (state.prevailsOver(known)) {
            return false;
        }
        return state.revision() <= known.revision()
                || known.phase().isEnded() && !state.phase().isEnded();
    }

    private void updateOnlyForbidden() {
        boolean hasUsable = mAnnounced.stream().anyMatch(version -> !isForbidden(version));
        if (hasUsable || mAnnounced.isEmpty()) {
            mOnlyForbiddenSince = Optional.empty();
        } else if (mOnlyForbiddenSince.isEmpty()) {
            mOnlyForbiddenSince = Optional.of(mTime.nanoTime());
        }
    }

    /** Returns whether the state excludes a version: it is on trial or was rolled back. */
    private boolean isForbidden(SoftwareVersion version) {
        return mState.filter(
                        state -> {
                            RolloutPhase phase = state.phase();
                            boolean isExcluding =
                                    phase == RolloutPhase.TRIAL
                                            || phase == RolloutPhase.ROLLED_BACK;
                            return state.rejected().contains(version)
                                    || isExcluding && state.target().equals(version);
                        })
                .isPresent();
    }

    /**
     * Returns whether all announced versions are forbidden, so that the group would be out of
     * service. Other announcements may be missing for a moment only, if there were any.
     */
    private boolean isOnlyForbiddenLeft() {
        return mOnlyForbiddenSince
                .filter(
                        since ->
                                mEverAnnounced.stream().allMatch(this::isForbidden)
                                        || mTime.since(since).compareTo(PhaseDecision.ABSENCE) > 0)
                .isPresent();
    }

    private static boolean isSameOrder(RolloutState a, RolloutState b) {
        return a.order().equals(b.order());
    }

    private void selectTrialUpstreams() {
        mTrialUpstreams = mState.map(this::trialUpstreams).orElse(Set.of());
    }

    private Set<UpstreamId> trialUpstreams(RolloutState state) {
        Set<UpstreamId> target = new HashSet<>();
        mUpstreams.forEach(
                (upstream, version) -> {
                    if (version.equals(state.target())) {
                        target.add(upstream);
                    }
                });
        int oldCount = mUpstreams.size() - target.size();
        return TrialUpstreams.select(state.order(), target, oldCount, mBounds.share());
    }

    Optional<RolloutState> state() {
        return mState;
    }

    VersionRule rule(String route, SendKind kind, boolean statusFresh) {
        if (isRefusing(statusFresh)) {
            return VersionRule.NONE;
        }
        if (kind == SendKind.FIRST && isTrialOpen(statusFresh) && mBudget.isDue(route)) {
            return VersionRule.trial(mState.get().target(), mTrialUpstreams);
        }
        return (upstream, version) -> isOrdinary(version);
    }

    /** Returns the rule of a request that only a given version can continue. */
    VersionRule continuationRule(SoftwareVersion version, boolean statusFresh) {
        boolean isOnTrial = isTrialOpen(statusFresh) && mState.get().target().equals(version);
        return isOnTrial && mBudget.isFurtherAvailable()
                ? VersionRule.trial(version, mTrialUpstreams)
                : rule("", SendKind.FURTHER, statusFresh);
    }

    boolean trySend(
            String route,
            SendKind kind,
            UpstreamId upstream,
            Optional<SoftwareVersion> version,
            boolean statusFresh) {
        if (isRefusing(statusFresh)) {
            return false;
        }
        if (isOrdinary(version)) {
            if (kind == SendKind.FIRST) {
                mBudget.onFirstAttempt(route);
            }
            return true;
        }
        return version.isPresent()
                && isTrialOpen(statusFresh)
                && version.get().equals(mState.get().target())
                && mTrialUpstreams.contains(upstream)
                && mBudget.tryUse(route, kind);
    }

    Optional<VersionSide> side(Optional<SoftwareVersion> version) {
        return mState.filter(state -> !state.phase().isEnded())
                .flatMap(
                        state ->
                                version.map(
                                        known ->
                                                known.equals(state.target())
                                                        ? VersionSide.TARGET
                                                        : VersionSide.OLD));
    }

    private boolean isRefusing(boolean statusFresh) {
        return isIn(RolloutPhase.SWITCHING) && !statusFresh;
    }

    /** Returns whether requests may go to a target version on trial, within the budget. */
    private boolean isTrialOpen(boolean statusFresh) {
        return statusFresh
                && isIn(RolloutPhase.TRIAL)
                && mRequest.filter(mState.get()::isOf).isPresent()
                && !mTrialUpstreams.isEmpty()
                && mSightings.isCleared(mState.get().target());
    }

    /**
     * Returns whether requests that are no trials may go to a version. While a version is not
     * allowed that some upstream announces, an upstream of unknown version may run it.
     */
    private boolean isOrdinary(Optional<SoftwareVersion> version) {
        return version.map(this::isAllowed)
                .orElseGet(() -> mAnnounced.stream().allMatch(this::isAllowed));
    }

    private boolean isAllowed(SoftwareVersion version) {
        return mSightings.isCleared(version)
                && !isPendingTarget(version)
                && mState.map(state -> isAllowed(version, state)).orElse(true);
    }

    /** Returns whether a version is the target of a request that is not recorded as running yet. */
    private boolean isPendingTarget(SoftwareVersion version) {
        boolean isPending =
                mRequest.filter(request -> request.target().equals(version))
                        .filter(request -> mState.filter(state -> state.isOf(request)).isEmpty())
                        .isPresent();
        boolean isInUse =
                mState.filter(state -> state.phase() == RolloutPhase.COMPLETED)
                        .filter(state -> state.target().equals(version))
                        .isPresent();
        // The only version of a group is in use already, and remains so.
        return isPending
                && !isInUse
                && mAnnounced.stream().anyMatch(other -> !other.equals(version));
    }

    private boolean isAllowed(SoftwareVersion version, RolloutState state) {
        if (isForbidden(version)) {
            return isOnlyForbiddenLeft();
        }
        boolean isTarget = version.equals(state.target());
        switch (state.phase()) {
            case TRIAL:
            case ROLLED_BACK:
                return true;
            case SWITCHING:
                return isTarget;
            default:
                // The old upstreams stop without draining; a version that came later is none of
                // them.
                return isTarget
                        || mSightings.isFirstSeenAfter(version, mPhaseSince + STOP_NANOS)
                        || !mAnnounced.contains(state.target());
        }
    }

    private boolean isIn(RolloutPhase phase) {
        return mState.filter(state -> state.phase() == phase).isPresent();
    }
}
