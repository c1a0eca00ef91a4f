package org.boragethread.entry.gateway;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.stage.BatchGroup;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.upstream.GroupId;

/** The upstreams of one group that makes pieces, from the tables of the process. */
final class DirectoryBatchGroup implements BatchGroup {

    private final Gateway mGateway;
    private final GroupId mGroup;

    DirectoryBatchGroup(Gateway gateway, GroupId group) {
        mGateway = gateway;
        mGroup = group;
    }

    @Override
    public String name() {
        return mGroup.value();
    }

    @Override
    public Optional<BatchLimits> limits() {
        return mGateway.group(mGroup).flatMap(RoutedGroup::batch);
    }

    @Override
    public List<UpstreamNode> upstreams() {
        long now = mGateway.time().nanoTime();
        List<UpstreamNode> usable = new ArrayList<>();
        List<UpstreamNode> avoided = new ArrayList<>();
        for (UpstreamNode node : mGateway.directory().of(mGroup)) {
            boolean out =
                    node.entry().leaving()
                            || mGateway.routing().evacuated().contains(node.entry().dataCentre());
            if (!out) {
                (node.isAvoided(now) ? avoided : usable).add(node);
            }
        }
        List<UpstreamNode> chosen = usable.isEmpty() ? avoided : usable;
        chosen.sort(
                Comparator.comparingLong((UpstreamNode node) -> busyMillis(node, now))
                        .thenComparingDouble(node -> Math.round(node.slowness()))
                        .thenComparingLong(this::preference));
        return chosen;
    }

    private static long busyMillis(UpstreamNode node, long now) {
        return Math.max(0, (node.busyUntil() - now) / 1_000_000);
    }

    /** Each entry prefers upstreams in an order of its own, so that entries collide less. */
    private long preference(UpstreamNode node) {
        String pair = mGateway.settings().name() + '/' + node.entry().id().value();
        return Hashing.komihash5_0().hashCharsToLong(pair);
    }
}
