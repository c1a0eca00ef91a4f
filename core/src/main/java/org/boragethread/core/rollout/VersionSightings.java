package org.boragethread.core.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.SoftwareVersion;

/**
 * When the versions of a group were first announced to this entry. A version is only used once the
 * orders have been read as of a later moment, since it may be the target of an order that this
 * entry does not know yet. Not thread-safe.
 */
final class VersionSightings {

    private final TimeSource mTime;
    private final Supplier<Optional<ClockReading>> mOrdersReadAt;
    private final Map<SoftwareVersion, Long> mFirstSeen = new HashMap<>();
    private final Set<SoftwareVersion> mCleared = new HashSet<>();

    VersionSightings(TimeSource time, Supplier<Optional<ClockReading>> ordersReadAt) {
        mTime = time;
        mOrdersReadAt = ordersReadAt;
    }

    void onAnnounced(SoftwareVersion version) {
        mFirstSeen.putIfAbsent(version, mTime.nanoTime());
    }

    /** Returns whether the orders are known as of the first announcement of a version. */
    boolean isCleared(SoftwareVersion version) {
        if (mCleared.contains(version)) {
            return true;
        }
        Long firstSeen = mFirstSeen.get(version);
        boolean isCleared =
                firstSeen != null
                        && mOrdersReadAt.get().filter(at -> at.nanos() - firstSeen > 0).isPresent();
        if (isCleared) {
            mCleared.add(version);
        }
        return isCleared;
    }

    /** Returns whether a version was first announced after a monotonic time. */
    boolean isFirstSeenAfter(SoftwareVersion version, long nanos) {
        Long firstSeen = mFirstSeen.get(version);
        return firstSeen != null && firstSeen - nanos > 0;
    }
}
