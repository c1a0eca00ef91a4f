package org.boragethread.entry.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.boragethread.core.placement.Placement;
import org.boragethread.core.placement.PlacementKey;
import org.boragethread.core.placement.PlacementRefusal;
import org.boragethread.core.placement.PlacementRequest;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.wire.proto.PlacementDecision;
import org.boragethread.wire.proto.PlacementNeeds;

/** Converts the messages about placements to and from the types of the coordinator. */
final class PlacementCodec {

    /** No request is at an engine for longer; other values would distort what is learned. */
    private static final Duration MAX_AGE = Duration.ofHours(1);

    /** Longest time until a deadline, so that sums with the present time don't overflow. */
    private static final long MAX_LEFT_NANOS = Duration.ofDays(1).toNanos();

    private PlacementCodec() {}

    /** Returns an age or a response time of a message, within sane bounds. */
    static Duration age(long nanos) {
        return Duration.ofNanos(Math.max(0, Math.min(MAX_AGE.toNanos(), nanos)));
    }

    private static long left(long nanos) {
        return Math.max(-MAX_LEFT_NANOS, Math.min(MAX_LEFT_NANOS, nanos));
    }

    /** Returns a cost of a message; 0 if it is no number. */
    private static double cost(double millis) {
        return Double.isNaN(millis) ? 0 : Math.max(0, Math.min(MAX_AGE.toMillis(), millis));
    }

    static PlacementKey key(EntryIncarnation entry, PlacementNeeds needs) {
        return new PlacementKey(entry.name(), needs.getRequestId(), needs.getNumber());
    }

    /**
     * Decodes what a request needs.
     *
     * @param unusable engines that it must not reach, in addition to those of the message
     * @param now monotonic time of this process
     * @throws IllegalArgumentException if the message is malformed
     */
    static PlacementRequest decode(
            PlacementKey key, PlacementNeeds needs, Set<UpstreamId> unusable, long now) {
        Set<UpstreamId> allUnusable = new HashSet<>(unusable);
        needs.getUnusableList().forEach(id -> allUnusable.add(new UpstreamId(id)));
        Set<SoftwareVersion> forbidden =
                needs.getForbiddenVersionsList().stream()
                        .map(SoftwareVersion::new)
                        .collect(Collectors.toSet());
        long deadline = now + left(needs.getDeadlineLeftNanos());
        PlacementRequest.Builder request =
                PlacementRequest.builder(key)
                        .prefix(needs.getPrefixHash(), needs.getPrefixTokens())
                        .tokens(needs.getPromptTokens(), needs.getOutputTokens())
                        .priority(needs.getPriority())
                        .team(needs.getTeam())
                        .firstEventBy(now + left(needs.getTargetLeftNanos()), deadline)
                        .expiry(Math.max(deadline, now + left(needs.getExpiryLeftNanos())))
                        .unusable(allUnusable)
                        .forbiddenVersions(forbidden);
        if (!needs.getInputDataCentre().isEmpty()) {
            request.input(
                    new DataCentreId(needs.getInputDataCentre()), cost(needs.getRemoteMillis()));
        }
        if (!needs.getRequiredVersion().isEmpty()) {
            request.requiredVersion(new SoftwareVersion(needs.getRequiredVersion()));
        }
        return request.build();
    }

    /** Returns numbered needs. The caller's ID may be long and only has to be recognized. */
    static PlacementNeeds number(PlacementNeeds.Builder needs, long number) {
        long id = Hashing.komihash5_0().hashCharsToLong(needs.getRequestId());
        return needs.setNumber(number).setRequestId(Long.toHexString(id)).build();
    }

    /** Returns what a request still needs some time after it was asked for. */
    static PlacementNeeds later(PlacementNeeds needs, Duration elapsed) {
        long nanos = elapsed.toNanos();
        return needs.toBuilder()
                .setTargetLeftNanos(needs.getTargetLeftNanos() - nanos)
                .setDeadlineLeftNanos(needs.getDeadlineLeftNanos() - nanos)
                .setExpiryLeftNanos(needs.getExpiryLeftNanos() - nanos)
                .build();
    }

    static PlacementDecision encode(Placement placement) {
        return PlacementDecision.newBuilder()
                .setEngine(placement.engine().value())
                .setWaitedNanos(placement.waited().toNanos())
                .setExpectedFirstEventNanos(placement.expectedFirstEvent().toNanos())
                .setPrefixCached(placement.prefixCached())
                .build();
    }

    static PlacementDecision encode(PlacementRefusal refusal) {
        return PlacementDecision.newBuilder()
                .setRefusal(refusal.reason().name())
                .setRetryAfterNanos(refusal.retryAfter().toNanos())
                .setWaitedNanos(refusal.waited().toNanos())
                .build();
    }
}
