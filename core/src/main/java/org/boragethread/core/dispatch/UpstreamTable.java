package org.boragethread.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/** Thread-safe table of the established connections to agents, by group. */
public final class UpstreamTable {

    private final Map<GroupId, CopyOnWriteArrayList<UpstreamLink>> mLinks =
            new ConcurrentHashMap<>();

    /** Adds a connection. */
    public void add(UpstreamLink link) {
        mLinks.computeIfAbsent(link.group(), group -> new CopyOnWriteArrayList<>()).add(link);
    }

    /** Removes a connection. */
    public void remove(UpstreamLink link) {
        List<UpstreamLink> links = mLinks.get(link.group());
        if (links != null) {
            links.remove(link);
        }
    }

    /** Returns the connections of a group, in the order in which they were added. */
    public List<UpstreamLink> links(GroupId group) {
        return mLinks.getOrDefault(group, new CopyOnWriteArrayList<>());
    }

    /** Returns the connections of all groups. */
    public List<UpstreamLink> all() {
        List<UpstreamLink> all = new ArrayList<>();
        mLinks.values().forEach(all::addAll);
        return all;
    }

    /** Returns the most recent connection to the agent of an upstream. */
    public Optional<UpstreamLink> find(GroupId group, UpstreamId upstream) {
        List<UpstreamLink> links = links(group);
        for (int i = links.size() - 1; i >= 0; i--) {
            if (links.get(i).upstream().equals(upstream)) {
                return Optional.of(links.get(i));
            }
        }
        return Optional.empty();
    }
}
