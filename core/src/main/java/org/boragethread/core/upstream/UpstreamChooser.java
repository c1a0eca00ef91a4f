package org.boragethread.core.upstream;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.rollout.VersionRule;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Chooses the upstream with the lowest expected cost for a request. Requests with the same prompt
 * prefix go to the same engine, found by rendezvous hashing, until its load costs more than
 * processing the prefix at another engine.
 */
public final class UpstreamChooser {

    /**
     * Expected extra delay for each unfinished call of this process at an engine, in addition to
     * that of pending prompts, as a share of the mean prefill time: the calls share each decoding
     * step.
     */
    private static final double ENGINE_CALL_PREFILLS = 0.75;

    /**
     * Weight of the time to process a prefix that is not cached: it delays the request, the prompts
     * queued behind it, and the tokens of all requests running at the engine.
     */
    private static final double PREFIX_MISS_WEIGHT = 3;

    /**
     * Expected extra delay for each unfinished call of this process at a plain service, as a share
     * of the response time: the upstream runs several calls at once.
     */
    private static final double PLAIN_CALL_RESPONSES = 0.6;

    /** Cost of each step in the rendezvous order. */
    private static final double RANK_MILLIS = 1;

    /** Extra cost of a cold upstream, as a multiple of the response time. */
    private static final double COLD_RESPONSES = 1;

    private final UpstreamDirectory mDirectory;
    private final TimeSource mTime;
    private final DataCentreId mLocalDataCentre;
    private final Map<DataCentreId, String> mRegions;
    private final ColdRateShare mColdRateShare;
    private final RateLimitShare mRateLimitShare;

    /**
     * Creates a chooser.
     *
     * @param localDataCentre data centre of this process
     * @param regions region of each data centre
     */
    public UpstreamChooser(
            UpstreamDirectory directory,
            TimeSource time,
            DataCentreId localDataCentre,
            Map<DataCentreId, String> regions,
            ColdRateShare coldRateShare,
            RateLimitShare rateLimitShare) {
        mDirectory = directory;
        mTime = time;
        mLocalDataCentre = localDataCentre;
        mRegions = regions;
        mColdRateShare = coldRateShare;
        mRateLimitShare = rateLimitShare;
    }

    /**
     * Returns the upstream with the lowest cost among those that may get the request now, or one
     * whose limit is to be confirmed: among upstreams of equal cost the same one always comes
     * first, so the end of another one's limit might never be noticed.
     */
    public Optional<UpstreamNode> choose(ChoiceRequest request) {
        long now = mTime.nanoTime();
        List<UpstreamNode> candidates = candidates(request);
        long seed = request.affinity() != 0 ? request.affinity() : request.tieSeed();
        List<UpstreamNode> ranked = rendezvousOrder(candidates, seed);
        UpstreamNode best = null;
        double lowestCost = Double.MAX_VALUE;
        for (int rank = 0; rank < ranked.size(); rank++) {
            UpstreamNode node = ranked.get(rank);
            if (!isCallAllowed(node, request.group(), now)) {
                continue;
            }
            if (isConfirmationDue(node, now)) {
                return Optional.of(node);
            }
            double cost = cost(node, rank, request, now);
            if (cost < lowestCost) {
                lowestCost = cost;
                best = node;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the upstream for a request of a trial's share: one on trial if any is available that
     * is not held back for its refused connections, otherwise any other.
     */
    public Optional<UpstreamNode> choose(ChoiceRequest request, VersionRule trial) {
        return choose(request.withVersions(trial))
                .filter(node -> !node.isHeldBack(mTime.nanoTime()))
                .or(() -> choose(request));
    }

    /**
     * Returns the upstreams that could get the request but not now, or whose calls are likely to
     * fail; empty if there is no other one, or one whose limit is to be confirmed comes first.
     */
    public Optional<Set<UpstreamId>> unusable(ChoiceRequest request) {
        long now = mTime.nanoTime();
        boolean wasRefused = wasRefused(request);
        Set<UpstreamId> unusable = new HashSet<>();
        boolean any = false;
        for (UpstreamNode node : mDirectory.of(request.group().id())) {
            boolean isVersionAllowed =
                    request.versions().allows(node.entry().id(), node.softwareVersion());
            if (request.excluded().contains(node) || !isVersionAllowed) {
                unusable.add(node.entry().id());
            } else if (isAllowed(node, request)) {
                boolean callable = isCallAllowed(node, request.group(), now);
                if (callable && isConfirmationDue(node, now)) {
                    return Optional.empty();
                }
                if (callable && !node.isAvoided(now) && !isHeldBack(node, wasRefused, now)) {
                    any = true;
                } else {
                    unusable.add(node.entry().id());
                }
            }
        }
        return any ? Optional.of(unusable) : Optional.empty();
    }

    /** Returns whether an upstream is known and may get the request now. */
    public boolean isCallable(ChoiceRequest request, UpstreamNode node) {
        long now = mTime.nanoTime();
        return node.isListed()
                && node.entry().group().equals(request.group().id())
                && candidates(request).contains(node)
                && isCallAllowed(node, request.group(), now);
    }

    private boolean isConfirmationDue(UpstreamNode node, long now) {
        return !node.isAvoided(now)
                && now >= node.busyUntil()
                && mRateLimitShare.isConfirmationDue(node, now);
    }

    private boolean isCallAllowed(UpstreamNode node, RoutedGroup group, long now) {
        if (node.isPaused(now) || !mRateLimitShare.isCallAllowed(node, now)) {
            return false;
        }
        if (!node.isCold(now) || !mColdRateShare.isLimited(group)) {
            return true;
        }
        return node.isColdCallAllowed(mColdRateShare.calls(group, node.entry().id()), now);
    }

    /**
     * Returns whether any upstream of the group could get the request, now or soon. One that pauses
     * could not.
     */
    public boolean hasCandidate(ChoiceRequest request) {
        long now = mTime.nanoTime();
        return candidates(request).stream().anyMatch(node -> !node.isPaused(now));
    }

    /** Returns whether any upstream of the group may get the request now. */
    public boolean hasCallableCandidate(ChoiceRequest request) {
        long now = mTime.nanoTime();
        return candidates(request).stream()
                .anyMatch(node -> isCallAllowed(node, request.group(), now));
    }

    /**
     * Returns how the limits that upstreams name hold back the request; empty if any upstream that
     * does not pause is free of them now.
     */
    public Optional<RateLimitDelay> rateLimitDelay(ChoiceRequest request) {
        long now = mTime.nanoTime();
        double callsPerSecond = 0;
        double limit = 0;
        Optional<Long> first = Optional.empty();
        boolean any = false;
        for (UpstreamNode node : candidates(request)) {
            if (node.isPaused(now)) {
                continue;
            }
            Optional<CallAllowance> allowance = mRateLimitShare.allowance(node);
            if (allowance.isEmpty() || mRateLimitShare.isCallAllowed(node, now)) {
                return Optional.empty();
            }
            any = true;
            limit += node.namedRateLimit().perSecond().orElse(0);
            callsPerSecond += allowance.get().callsPerSecond();
            Optional<Long> next = mRateLimitShare.nextCallAt(node, now);
            if (next.isPresent() && (first.isEmpty() || next.get() < first.get())) {
                first = next;
            }
        }
        if (!any) {
            return Optional.empty();
        }
        Optional<Duration> untilNext = first.map(at -> Duration.ofNanos(at - now));
        return Optional.of(new RateLimitDelay(untilNext, callsPerSecond, limit));
    }

    /**
     * Returns the time until the first upstream accepts calls again, if all that could get the
     * request are paused.
     */
    public Optional<Duration> remainingPause(ChoiceRequest request) {
        List<UpstreamNode> candidates = candidates(request);
        long now = mTime.nanoTime();
        if (candidates.stream().anyMatch(node -> !node.isPaused(now))) {
            return Optional.empty();
        }
        return candidates.stream().map(node -> node.pauseTime(now)).min(Comparator.naturalOrder());
    }

    /**
     * Returns whether an upstream could get the request soon, because its announcement is doubtful
     * or outdated for a moment and names the software version that the request needs.
     */
    public boolean hasDoubtfulCandidate(ChoiceRequest request) {
        return request.softwareVersion().isPresent()
                && mDirectory.of(request.group().id()).stream()
                        .anyMatch(
                                node ->
                                        isDoubtful(node)
                                                && isPlaceAllowed(node, request)
                                                && isOfNeededVersion(
                                                        request, node.entry().softwareVersion())
                                                && request.versions()
                                                        .allows(
                                                                node.entry().id(),
                                                                node.entry().softwareVersion()));
    }

    /**
     * Returns whether the group has upstreams, but each is leaving, excluded or announced with
     * another software version than the request needs, so that only a new one could get the
     * request.
     */
    public boolean isGroupExhausted(ChoiceRequest request) {
        List<UpstreamNode> nodes = mDirectory.of(request.group().id());
        return !nodes.isEmpty()
                && nodes.stream()
                        .allMatch(
                                node ->
                                        node.isLeaving()
                                                || request.excluded().contains(node)
                                                || !isOfNeededVersion(
                                                        request, node.entry().softwareVersion()));
    }

    /**
     * Returns the upstreams that could get the request. Those that refuse connections are held back
     * if there are others, even if the others may not be called now.
     */
    private List<UpstreamNode> candidates(ChoiceRequest request) {
        long now = mTime.nanoTime();
        boolean wasRefused = wasRefused(request);
        List<UpstreamNode> candidates = new ArrayList<>();
        List<UpstreamNode> heldBack = new ArrayList<>();
        for (UpstreamNode node : mDirectory.of(request.group().id())) {
            if (isAllowed(node, request)) {
                (isHeldBack(node, wasRefused, now) ? heldBack : candidates).add(node);
            }
        }
        return candidates.isEmpty() ? heldBack : candidates;
    }

    /** One refused connection is enough for a request that tries whether upstreams are back. */
    private static boolean isHeldBack(UpstreamNode node, boolean wasRefused, long now) {
        return node.isHeldBack(now) || wasRefused && node.isRefusing();
    }

    private static boolean wasRefused(ChoiceRequest request) {
        return request.excluded().stream().anyMatch(UpstreamNode::isRefusing);
    }

    private boolean isAllowed(UpstreamNode node, ChoiceRequest request) {
        return isPlaceAllowed(node, request)
                && isOfNeededVersion(request, certainVersion(node))
                && request.versions().allows(node.entry().id(), node.softwareVersion());
    }

    private boolean isDoubtful(UpstreamNode node) {
        return node.doubtedAt().isPresent() || mDirectory.isOutdated();
    }

    private Optional<SoftwareVersion> certainVersion(UpstreamNode node) {
        return isDoubtful(node) ? Optional.empty() : node.softwareVersion();
    }

    private boolean isPlaceAllowed(UpstreamNode node, ChoiceRequest request) {
        DataCentreId dataCentre = node.entry().dataCentre();
        if (node.isLeaving() || request.excluded().contains(node)) {
            return false;
        }
        if (request.evacuated().contains(dataCentre)) {
            return false;
        }
        return request.regions().isEmpty()
                || request.regions().contains(mRegions.getOrDefault(dataCentre, ""));
    }

    private static boolean isOfNeededVersion(
            ChoiceRequest request, Optional<SoftwareVersion> version) {
        return request.softwareVersion().isEmpty() || request.softwareVersion().equals(version);
    }

    private static List<UpstreamNode> rendezvousOrder(List<UpstreamNode> nodes, long seed) {
        List<UpstreamNode> ranked = new ArrayList<>(nodes);
        ranked.sort(Comparator.comparingLong(node -> weight(node, seed)));
        return ranked;
    }

    private static long weight(UpstreamNode node, long seed) {
        long idHash = Hashing.komihash5_0().hashCharsToLong(node.entry().id().value());
        return Hashing.komihash5_0().hashStream().putLong(idHash).putLong(seed).getAsLong();
    }

    /**
     * Returns the expected cost of sending a request to an upstream, as a delay in milliseconds.
     */
    private double cost(UpstreamNode node, int rank, ChoiceRequest request, long now) {
        boolean engine = request.group().engine().isPresent();
        ResponseTimeModel times = request.times();
        double responseMillis = times.expectedMillis(0);
        double callMillis =
                engine
                        ? ENGINE_CALL_PREFILLS * times.meanPrefillMillis()
                        : PLAIN_CALL_RESPONSES * responseMillis;
        double cost = node.inFlight() * callMillis + node.prompts().pendingMillis();
        cost *= node.slowness();
        cost += Math.max(0, node.slowness() - 1) * responseMillis;
        if (request.affinity() != 0) {
            // Every entry prefers the first engine in the order, so the prefix is cached there.
            boolean cached = rank == 0 || node.prompts().isPrefixCached(request.affinity());
            cost += rank * RANK_MILLIS + (cached ? 0 : prefixMissMillis(request));
        }
        if (!node.entry().dataCentre().equals(request.inputDataCentre().orElse(mLocalDataCentre))) {
            cost += request.remoteMillis();
        }
        if (node.isCold(now)) {
            cost += COLD_RESPONSES * responseMillis;
        }
        if (node.isAvoided(now)) {
            cost += 1e6 + (node.avoidedUntil() - now) / 1e6;
        } else if (now < node.busyUntil()) {
            cost += 1e3 + (node.busyUntil() - now) / 1e6;
        }
        return cost;
    }

    private static double prefixMissMillis(ChoiceRequest request) {
        return PREFIX_MISS_WEIGHT * request.times().prefillMillis(request.prefixTokens());
    }
}
