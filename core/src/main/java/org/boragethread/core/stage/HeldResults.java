package org.boragethread.core.stage;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.boragethread.model.upstream.GroupId;

/**
 * Results that the requests of this process hold, by group. Not safe for use by several threads.
 */
public final class HeldResults {

    private final Map<GroupId, Map<String, HeldResult>> mByGroup = new HashMap<>();

    /** Adds a result. */
    public void add(GroupId group, HeldResult result) {
        mByGroup.computeIfAbsent(group, key -> new HashMap<>()).put(result.made().handle(), result);
    }

    /** Forgets results that are being freed. */
    public void remove(GroupId group, Collection<String> handles) {
        mByGroup.getOrDefault(group, Map.of()).keySet().removeAll(handles);
    }

    /** Returns the groups of which results were held. */
    public Set<GroupId> groups() {
        return Set.copyOf(mByGroup.keySet());
    }

    /** Returns the results of a group that upstreams still keep. */
    public List<HeldResult> of(GroupId group, long now) {
        Map<String, HeldResult> held = mByGroup.getOrDefault(group, Map.of());
        held.values().removeIf(result -> result.untilNanos() <= now);
        return List.copyOf(held.values());
    }
}
