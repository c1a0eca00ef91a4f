package org.boragethread.core.upstream;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.place.DataCentreId;

/**
 * Chooses the upstream of a request. Requests that share a beginning go to the same engine, found
 * by rendezvous hashing, until its load costs more than reading the beginning again.
 */
public final class UpstreamChooser {

    /**
     * Expected extra delay for each unfinished call of this process at an engine, besides prompts
     * that are not read: its tokens share each step with those of others.
     */
    private static final double ENGINE_CALL_MILLIS = 40;

    /**
     * Weight of the time to read a beginning anew: it delays the request, the prompts behind it and
     * the tokens of all that run there.
     */
    private static final double REREAD_WEIGHT = 3;

    /** Expected extra delay for each unfinished call of this process at a plain service. */
    private static final double PLAIN_CALL_MILLIS = 25;

    /** Delay that one more step in the rendezvous order is taken to cost. */
    private static final double RANK_MILLIS = 1;

    /** Delay that a multiple of the usual time is taken to cost. */
    private static final double SLOWNESS_MILLIS = 120;

    private static final double COLD_MILLIS = 100;

    private final UpstreamDirectory mDirectory;
    private final TimeSource mTime;
    private final DataCentreId mHome;
    private final Map<DataCentreId, String> mRegions;
    private final ColdShare mColdShare;

    /**
     * Makes a chooser.
     *
     * @param home data centre of this process
     * @param regions region of each data centre
     */
    public UpstreamChooser(
            UpstreamDirectory directory,
            TimeSource time,
            DataCentreId home,
            Map<DataCentreId, String> regions,
            ColdShare coldShare) {
        mDirectory = directory;
        mTime = time;
        mHome = home;
        mRegions = regions;
        mColdShare = coldShare;
    }

    /** Returns the best upstream that may get the request now. */
    public Optional<UpstreamNode> choose(ChoiceRequest request) {
        long now = mTime.nanoTime();
        List<UpstreamNode> fit = fit(request);
        List<UpstreamNode> ranked = ranked(fit, request.affinity());
        int coldLimit = mColdShare.limit(request.group());
        UpstreamNode best = null;
        double least = Double.MAX_VALUE;
        for (int rank = 0; rank < ranked.size(); rank++) {
            UpstreamNode node = ranked.get(rank);
            if (node.nanosUntilWarmEnough(coldLimit, now) > 0) {
                continue;
            }
            double cost = cost(node, rank, request, now);
            if (cost < least) {
                least = cost;
                best = node;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Tells whether any upstream of the group could get the request, now or soon. */
    public boolean hasAny(ChoiceRequest request) {
        return !fit(request).isEmpty();
    }

    private List<UpstreamNode> fit(ChoiceRequest request) {
        List<UpstreamNode> fit = new ArrayList<>();
        for (UpstreamNode node : mDirectory.of(request.group().id())) {
            if (isAllowed(node, request)) {
                fit.add(node);
            }
        }
        return fit;
    }

    private boolean isAllowed(UpstreamNode node, ChoiceRequest request) {
        DataCentreId place = node.entry().dataCentre();
        if (node.entry().leaving() || request.excluded().contains(node)) {
            return false;
        }
        if (request.evacuated().contains(place)) {
            return false;
        }
        return request.regions().isEmpty()
                || request.regions().contains(mRegions.getOrDefault(place, ""));
    }

    private static List<UpstreamNode> ranked(List<UpstreamNode> nodes, long affinity) {
        List<UpstreamNode> ranked = new ArrayList<>(nodes);
        ranked.sort(Comparator.comparingLong(node -> weight(node, affinity)));
        return ranked;
    }

    private static long weight(UpstreamNode node, long affinity) {
        long identity = Hashing.komihash5_0().hashCharsToLong(node.entry().id().value());
        return Hashing.komihash5_0().hashStream().putLong(identity).putLong(affinity).getAsLong();
    }

    private double cost(UpstreamNode node, int rank, ChoiceRequest request, long now) {
        boolean engine = request.group().engine().isPresent();
        double cost = node.inFlight() * (engine ? ENGINE_CALL_MILLIS : PLAIN_CALL_MILLIS);
        cost += node.prompts().unreadMillis();
        cost *= node.slowness();
        cost += Math.max(0, node.slowness() - 1) * SLOWNESS_MILLIS;
        if (request.affinity() != 0) {
            // Every entry sends a beginning to the first of the order, which thus knows it.
            boolean known = rank == 0 || node.prompts().knows(request.affinity());
            cost += rank * RANK_MILLIS + (known ? 0 : REREAD_WEIGHT * request.affinityMillis());
        }
        if (!node.entry().dataCentre().equals(request.near().orElse(mHome))) {
            cost += request.remoteMillis();
        }
        if (node.isCold(now)) {
            cost += COLD_MILLIS;
        }
        if (node.isAvoided(now)) {
            cost += 1e6 + (node.avoidedUntil() - now) / 1e6;
        } else if (now < node.busyUntil()) {
            cost += 1e3 + (node.busyUntil() - now) / 1e6;
        }
        return cost;
    }
}
