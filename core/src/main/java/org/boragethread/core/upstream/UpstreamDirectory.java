package org.boragethread.core.upstream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.follow.FreshnessLease;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/**
 * All known upstreams, as announced in the store. An announcement that expired during an outage of
 * the store is usually renewed afterwards, so its upstream stays in use for a grace period. Not
 * thread-safe.
 */
public final class UpstreamDirectory {

    /** Upstreams renew their announcements within about two seconds after an outage. */
    static final Duration RENEWAL_GRACE = Duration.ofMillis(2200);

    /** Removed upstreams whose state is kept; only recent ones are announced again. */
    private static final int MAX_REMOVED = 1024;

    private final TimeSource mTime;
    private final Map<UpstreamId, UpstreamNode> mNodes = new HashMap<>();
    private final Map<GroupId, List<UpstreamNode>> mGroups = new HashMap<>();
    private final Map<UpstreamId, UpstreamNode> mRemoved = new LinkedHashMap<>();
    private boolean mStoreUnavailable;
    private boolean mStoreRestored;
    private long mGraceEnd;
    private final Optional<FreshnessLease> mFreshness;
    private Optional<Long> mFirstReadAt = Optional.empty();
    private boolean mSettled;

    /** Creates an empty directory whose announcements are never outdated. */
    public UpstreamDirectory(TimeSource time) {
        this(time, Optional.empty());
    }

    /**
     * Creates an empty directory.
     *
     * @param readTimeout time after which announcements that were not read again are outdated
     */
    public UpstreamDirectory(TimeSource time, Duration readTimeout) {
        this(time, Optional.of(new FreshnessLease(time, readTimeout)));
    }

    private UpstreamDirectory(TimeSource time, Optional<FreshnessLease> freshness) {
        mTime = time;
        mFreshness = freshness;
        mGraceEnd = time.nanoTime();
    }

    /** Adds or updates an upstream. */
    public void put(UpstreamAnnouncement entry) {
        long now = mTime.nanoTime();
        UpstreamNode node = mNodes.get(entry.id());
        if (node == null) {
            node = restoreOrCreate(entry, now);
            mNodes.put(entry.id(), node);
            group(entry.group()).add(node);
            return;
        }
        GroupId previousGroup = node.entry().group();
        node.update(entry, now);
        if (!previousGroup.equals(entry.group())) {
            group(previousGroup).remove(node);
            group(entry.group()).add(node);
        }
    }

    /**
     * An announcement that ended may return. The upstream is then still leaving, paused or limited,
     * also by responses to calls that had not ended when the announcement did.
     */
    private UpstreamNode restoreOrCreate(UpstreamAnnouncement entry, long now) {
        UpstreamNode removed = mRemoved.remove(entry.id());
        if (removed == null) {
            return new UpstreamNode(entry, now);
        }
        removed.update(entry, now);
        return removed;
    }

    /** Removes an upstream whose announcement has ended, at once or after the grace period. */
    public void remove(UpstreamId id) {
        UpstreamNode node = mNodes.get(id);
        if (node == null) {
            return;
        }
        long now = mTime.nanoTime();
        if (mStoreUnavailable || now < mGraceEnd) {
            node.removeAt(mStoreUnavailable ? Long.MAX_VALUE - 1 : mGraceEnd);
        } else {
            delete(node);
        }
    }

    /**
     * Removes the upstreams that are not in a snapshot of all announcements, which is put next.
     *
     * @param keys identifiers of the upstreams in the snapshot
     */
    public void retain(Set<String> keys) {
        mFirstReadAt = mFirstReadAt.or(() -> Optional.of(mTime.nanoTime()));
        for (UpstreamId id : new ArrayList<>(mNodes.keySet())) {
            if (!keys.contains(id.value())) {
                remove(id);
            }
        }
    }

    /** Called when all announcements of a snapshot were put. */
    public void onSnapshotApplied() {
        if (mStoreRestored) {
            mStoreRestored = false;
            long now = mTime.nanoTime();
            mNodes.values().forEach(node -> node.doubtRun(now));
        }
    }

    /** Replaces all announcements. */
    public void replaceAll(Collection<UpstreamAnnouncement> entries) {
        retain(entries.stream().map(entry -> entry.id().value()).collect(Collectors.toSet()));
        entries.forEach(this::put);
        onSnapshotApplied();
    }

    /** Called when the store becomes unreadable; upstreams are not removed until it is back. */
    public void onStoreUnavailable() {
        mStoreUnavailable = true;
    }

    /** Called when the store can be read again; starts the grace period. */
    public void onStoreAvailable() {
        mStoreUnavailable = false;
        mGraceEnd = mTime.nanoTime() + RENEWAL_GRACE.toNanos();
    }

    /**
     * Called before announcements from an older copy of the store are put; those that are missing
     * there are removed only if they are not renewed in the grace period.
     */
    public void onStoreRestored() {
        mStoreRestored = true;
        mGraceEnd = mTime.nanoTime() + RENEWAL_GRACE.toNanos();
    }

    /** Called when all announcements are known that had been written at a time. */
    public void onUpToDate(ClockReading asOf) {
        mFreshness.ifPresent(freshness -> freshness.renew(asOf));
        onUpToDate(asOf.nanos());
    }

    /**
     * Called when all announcements are known that had been written at a time, without any effect
     * on whether they are outdated.
     *
     * @param at monotonic time in nanoseconds
     */
    public void onUpToDate(long at) {
        mNodes.values().forEach(node -> node.confirmRun(at));
        mSettled |= mFirstReadAt.filter(first -> at - first >= RENEWAL_GRACE.toNanos()).isPresent();
    }

    /**
     * Returns whether all runs are known that began before announcements were read for the first
     * time. Until then an announcement may be of a run that has ended, for example because the
     * upstream started again while this process was down.
     */
    public boolean isSettled() {
        return mSettled;
    }

    /**
     * Returns whether the last reading of announcements is older than usual, because this process
     * stood still or is cut off. An upstream may have started again with other software since.
     */
    public boolean isOutdated() {
        return mSettled && mFreshness.filter(freshness -> !freshness.isHeld()).isPresent();
    }

    /** Returns whether the announcements are outdated and the store cannot be read. */
    public boolean isCutOff() {
        return mStoreUnavailable && isOutdated();
    }

    /** Returns when announcements were first read, if they are not settled since. */
    Optional<Long> unsettledSince() {
        return mSettled ? Optional.empty() : mFirstReadAt;
    }

    /** Returns the upstreams of a group, including those that are leaving. */
    public List<UpstreamNode> of(GroupId id) {
        List<UpstreamNode> nodes = group(id);
        long now = mTime.nanoTime();
        for (int i = nodes.size() - 1; i >= 0; i--) {
            if (nodes.get(i).isRemovalDue(now)) {
                delete(nodes.get(i));
            }
        }
        return nodes;
    }

    public Optional<UpstreamNode> find(UpstreamId id) {
        return Optional.ofNullable(mNodes.get(id));
    }

    /** Returns all known upstreams. */
    public Collection<UpstreamNode> all() {
        return List.copyOf(mNodes.values());
    }

    /** Returns the number of known upstreams. */
    public int size() {
        return mNodes.size();
    }

    private List<UpstreamNode> group(GroupId id) {
        return mGroups.computeIfAbsent(id, key -> new ArrayList<>());
    }

    private void delete(UpstreamNode node) {
        mNodes.remove(node.entry().id());
        node.delist();
        group(node.entry().group()).remove(node);
        mRemoved.put(node.entry().id(), node);
        if (mRemoved.size() > MAX_REMOVED) {
            mRemoved.remove(mRemoved.keySet().iterator().next());
        }
    }
}
