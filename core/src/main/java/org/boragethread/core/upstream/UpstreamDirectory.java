package org.boragethread.core.upstream;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.routing.UpstreamEntry;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/**
 * All known upstreams. An announcement that ended while the store was away may come back; until
 * then its upstream stays in use. Not safe for use by several threads.
 */
public final class UpstreamDirectory {

    /** Announcements are back within about two seconds of the store's return. */
    private static final Duration RETURN_GRACE = Duration.ofMillis(2200);

    private final TimeSource mTime;
    private final Map<UpstreamId, UpstreamNode> mNodes = new HashMap<>();
    private final Map<GroupId, List<UpstreamNode>> mGroups = new HashMap<>();
    private boolean mStoreLost;
    private long mGraceEnd;

    /** Makes an empty directory. */
    public UpstreamDirectory(TimeSource time) {
        mTime = time;
        mGraceEnd = time.nanoTime();
    }

    /** Adds an upstream or renews what is known of it. */
    public void put(UpstreamEntry entry) {
        long now = mTime.nanoTime();
        UpstreamNode node = mNodes.get(entry.id());
        if (node == null) {
            node = new UpstreamNode(entry, now);
            mNodes.put(entry.id(), node);
            group(entry.group()).add(node);
            return;
        }
        GroupId before = node.entry().group();
        node.update(entry, now);
        if (!before.equals(entry.group())) {
            group(before).remove(node);
            group(entry.group()).add(node);
        }
    }

    /** An upstream's announcement has ended. */
    public void remove(UpstreamId id) {
        UpstreamNode node = mNodes.get(id);
        if (node == null) {
            return;
        }
        long now = mTime.nanoTime();
        if (mStoreLost || now < mGraceEnd) {
            node.goneAt(mStoreLost ? Long.MAX_VALUE - 1 : mGraceEnd);
        } else {
            forget(node);
        }
    }

    /** Replaces all announcements. */
    public void replaceAll(Collection<UpstreamEntry> entries) {
        Set<UpstreamId> present = new HashSet<>();
        for (UpstreamEntry entry : entries) {
            present.add(entry.id());
            put(entry);
        }
        for (UpstreamId id : new ArrayList<>(mNodes.keySet())) {
            if (!present.contains(id)) {
                remove(id);
            }
        }
    }

    /** The store cannot be read, so that ends of announcements say little. */
    public void onStoreLost() {
        mStoreLost = true;
    }

    /** The store can be read again; announcements that are missing have some time to come back. */
    public void onStoreRegained() {
        mStoreLost = false;
        mGraceEnd = mTime.nanoTime() + RETURN_GRACE.toNanos();
    }

    /** Returns the upstreams of a group, those on their way out included. */
    public List<UpstreamNode> of(GroupId id) {
        List<UpstreamNode> nodes = group(id);
        long now = mTime.nanoTime();
        for (int i = nodes.size() - 1; i >= 0; i--) {
            if (nodes.get(i).isGone(now)) {
                forget(nodes.get(i));
            }
        }
        return nodes;
    }

    /** Returns an upstream by its identity. */
    public Optional<UpstreamNode> find(UpstreamId id) {
        return Optional.ofNullable(mNodes.get(id));
    }

    /** Returns the number of known upstreams. */
    public int size() {
        return mNodes.size();
    }

    private List<UpstreamNode> group(GroupId id) {
        return mGroups.computeIfAbsent(id, key -> new ArrayList<>());
    }

    private void forget(UpstreamNode node) {
        mNodes.remove(node.entry().id());
        group(node.entry().group()).remove(node);
    }
}
