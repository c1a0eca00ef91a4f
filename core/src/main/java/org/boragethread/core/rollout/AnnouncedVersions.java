package org.boragethread.core.rollout;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.SoftwareVersion;

/** Which versions the upstreams of a group announce, and since when none does. Not thread-safe. */
final class AnnouncedVersions {

    private final TimeSource mTime;
    private final Set<SoftwareVersion> mEver = new HashSet<>();
    private Set<SoftwareVersion> mNow = Set.of();
    private Optional<SoftwareVersion> mTarget = Optional.empty();
    private long mTargetAt;
    private long mOtherAt;

    AnnouncedVersions(TimeSource time) {
        mTime = time;
        mTargetAt = time.nanoTime();
        mOtherAt = mTargetAt;
    }

    void set(Set<SoftwareVersion> versions) {
        refresh();
        mNow = Set.copyOf(versions);
        mEver.addAll(versions);
        refresh();
    }

    void setTarget(SoftwareVersion target) {
        if (mTarget.filter(target::equals).isEmpty()) {
            mTarget = Optional.of(target);
            mTargetAt = mTime.nanoTime();
            mOtherAt = mTargetAt;
        }
        refresh();
    }

    private void refresh() {
        long now = mTime.nanoTime();
        if (mTarget.filter(mNow::contains).isPresent()) {
            mTargetAt = now;
        }
        if (hasOther(mNow)) {
            mOtherAt = now;
        }
    }

    /** Returns whether the target was ever announced. */
    boolean hasSeenTarget() {
        return mTarget.filter(mEver::contains).isPresent();
    }

    /**
     * Returns whether only the target is announced. A group that had another version may lose its
     * announcements for a moment, so that they must be missing for {@link PhaseDecision#ABSENCE}.
     */
    boolean isOnlyTarget() {
        boolean isOtherAbsent = otherAbsence().compareTo(PhaseDecision.ABSENCE) > 0;
        return mTarget.filter(mNow::contains).isPresent()
                && !hasOther(mNow)
                && (isOtherAbsent || !hasOther(mEver));
    }

    private boolean hasOther(Set<SoftwareVersion> versions) {
        return versions.stream().anyMatch(version -> mTarget.filter(version::equals).isEmpty());
    }

    /** Returns the time since the target was last announced. */
    Duration targetAbsence() {
        return mTime.since(mTargetAt);
    }

    /** Returns the time since another version was last announced. */
    Duration otherAbsence() {
        return mTime.since(mOtherAt);
    }
}
