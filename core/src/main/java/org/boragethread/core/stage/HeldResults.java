package org.boragethread.core.stage;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.boragethread.model.upstream.GroupId;

/** Results that the requests of this process hold, by group. Not thread-safe. */
public final class HeldResults {

    private final Map<GroupId, Map<String, HeldResult>> mByGroup = new HashMap<>();

    public void add(GroupId group, HeldResult result) {
        mByGroup.computeIfAbsent(group, key -> new HashMap<>())
                .put(result.location().handle(), result);
    }

    /** Removes results that are being freed. */
    public void remove(GroupId group, Collection<String> handles) {
        mByGroup.getOrDefault(group, Map.of()).keySet().removeAll(handles);
    }

    /** Returns all groups of which results are or were held. */
    public Set<GroupId> groups() {
        return Set.copyOf(mByGroup.keySet());
    }

    /** Returns the results of a group that have not expired. */
    public List<HeldResult> unexpired(GroupId group, long now) {
        Map<String, HeldResult> held = mByGroup.getOrDefault(group, Map.of());
        held.values().removeIf(result -> result.expiresAtNanos() <= now);
        return List.copyOf(held.values());
    }
}
