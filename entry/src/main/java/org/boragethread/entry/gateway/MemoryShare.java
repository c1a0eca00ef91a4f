package org.boragethread.entry.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.EngineLimits;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Memory of engines that this process may use without a coordinator. It does not know what other
 * entries run then, and an engine crashes if the sum exceeds its memory, so each live entry uses an
 * equal share of each engine.
 */
final class MemoryShare {

    private MemoryShare() {}

    /**
     * Returns the engines of a group that have no room for a request in this process's share.
     *
     * @param promptTokens length of the prompt
     * @param outputTokens maximum number of tokens to generate; 0 if it is not known
     */
    static List<UpstreamNode> findFull(
            Gateway gateway, RoutedGroup group, long promptTokens, long outputTokens) {
        List<UpstreamNode> full = new ArrayList<>();
        if (group.engine().isEmpty() || !gateway.settings().scheduling().engineMemoryEnforced()) {
            return full;
        }
        EngineLimits limits = group.engine().get();
        long share = limits.cacheTokens() / Math.max(1, gateway.coordinators().memberCount());
        long needed = limits.memoryTokens(promptTokens, outputTokens);
        Map<UpstreamId, Long> held = gateway.placements().tokensAtEngines(group.id(), limits);
        for (UpstreamNode node : gateway.directory().of(group.id())) {
            if (held.getOrDefault(node.entry().id(), 0L) + needed > share) {
                full.add(node);
            }
        }
        return full;
    }
}
