package org.boragethread.entry.rollout;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.boragethread.core.rollout.EntryReport;
import org.boragethread.core.rollout.RolloutEvidence;
import org.boragethread.core.rollout.UpstreamFailures;
import org.boragethread.core.rollout.VersionCounts;
import org.boragethread.core.rollout.VersionSide;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.platform.store.MalformedRecordException;
import org.boragethread.platform.store.RolloutCodec;
import org.boragethread.wire.proto.RolloutReport;
import org.boragethread.wire.proto.RolloutRouteCounts;
import org.boragethread.wire.proto.RolloutUpstreamFailures;
import org.boragethread.wire.proto.RolloutVersionCounts;

/** Encodes and decodes what entries tell each other about roll-outs. */
public final class RolloutReportCodec {

    /** Far above the responses of an order; sums over all entries do not overflow. */
    private static final long MAX_COUNT = 1_000_000_000_000L;

    private RolloutReportCodec() {}

    /** Encodes a report. */
    public static RolloutReport encode(EntryReport report) {
        RolloutReport.Builder message =
                RolloutReport.newBuilder()
                        .setAddress(report.address())
                        .setStartedAt(report.startedAt())
                        .setSequence(report.sequence())
                        .setState(ByteString.copyFrom(RolloutCodec.encodeState(report.state())))
                        .setOldInFlight(report.oldInFlight());
        RolloutEvidence evidence = report.evidence();
        for (String route : evidence.routes()) {
            message.addRoutes(
                    RolloutRouteCounts.newBuilder()
                            .setRoute(route)
                            .setOld(encode(evidence.counts(route, VersionSide.OLD)))
                            .setTarget(encode(evidence.counts(route, VersionSide.TARGET))));
        }
        evidence.failures().forEach(failures -> message.addFailures(encode(failures)));
        return message.build();
    }

    private static RolloutUpstreamFailures encode(UpstreamFailures failures) {
        return RolloutUpstreamFailures.newBuilder()
                .setRoute(failures.route())
                .setTarget(failures.side() == VersionSide.TARGET)
                .setUpstream(failures.upstream().value())
                .setSecond(failures.second())
                .setCount(failures.count())
                .build();
    }

    private static RolloutVersionCounts encode(VersionCounts counts) {
        RolloutVersionCounts.Builder message =
                RolloutVersionCounts.newBuilder()
                        .setResponses(counts.responses())
                        .setFailures(counts.failures())
                        .setAllFailures(counts.allFailures());
        long[] times = counts.times();
        for (int bucket = 0; bucket < times.length; bucket++) {
            if (times[bucket] > 0) {
                message.addTimes(bucket).addTimes(times[bucket]);
            }
        }
        return message.build();
    }

    /** Decodes a report. */
    public static EntryReport decode(RolloutReport message) throws MalformedRecordException {
        Map<String, Map<VersionSide, VersionCounts>> counts = new HashMap<>();
        try {
            for (RolloutRouteCounts route : message.getRoutesList()) {
                if (!route.hasOld() || !route.hasTarget()) {
                    throw new MalformedRecordException("a route lacks the counts of one version");
                }
                counts.put(
                        route.getRoute(),
                        Map.of(
                                VersionSide.OLD, decode(route.getOld()),
                                VersionSide.TARGET, decode(route.getTarget())));
            }
            RolloutEvidence evidence =
                    new RolloutEvidence(counts, decode(message.getFailuresList()));
            checkFailures(evidence);
            return new EntryReport(
                    message.getAddress(),
                    inRange("started_at", message.getStartedAt(), Long.MAX_VALUE),
                    inRange("sequence", message.getSequence(), Long.MAX_VALUE),
                    RolloutCodec.decodeState(message.getState().toByteArray()),
                    inRange("old_in_flight", message.getOldInFlight(), MAX_COUNT),
                    evidence);
        } catch (IllegalArgumentException e) {
            throw new MalformedRecordException(e.getMessage());
        }
    }

    private static List<UpstreamFailures> decode(List<RolloutUpstreamFailures> messages) {
        List<UpstreamFailures> failures = new ArrayList<>();
        for (RolloutUpstreamFailures message : messages) {
            failures.add(
                    new UpstreamFailures(
                            message.getRoute(),
                            message.getTarget() ? VersionSide.TARGET : VersionSide.OLD,
                            new UpstreamId(message.getUpstream()),
                            message.getSecond(),
                            message.getCount()));
        }
        return failures;
    }

    private static VersionCounts decode(RolloutVersionCounts message)
            throws MalformedRecordException {
        long responses = inRange("responses", message.getResponses(), MAX_COUNT);
        long allFailures = inRange("all_failures", message.getAllFailures(), responses);
        long failures = inRange("failures", message.getFailures(), allFailures);
        long[] times = decodeTimes(message.getTimesList(), responses - allFailures);
        return new VersionCounts(responses, failures, allFailures, times);
    }

    /** Decodes pairs of a bucket and its count, in ascending order of the buckets. */
    private static long[] decodeTimes(List<Long> pairs, long max) throws MalformedRecordException {
        long[] times = new long[VersionCounts.BUCKETS];
        if (pairs.size() % 2 != 0) {
            throw new MalformedRecordException("times have no count for the last bucket");
        }
        long next = 0;
        long timed = 0;
        for (int i = 0; i < pairs.size(); i += 2) {
            long bucket = inRange("bucket", pairs.get(i), VersionCounts.BUCKETS - 1);
            if (bucket < next) {
                throw new MalformedRecordException("times are not in the order of the buckets");
            }
            next = bucket + 1;
            times[(int) bucket] = inRange("times", pairs.get(i + 1), max - timed);
            timed += times[(int) bucket];
        }
        return times;
    }

    /** Checks that the named failures are among those that are counted. */
    private static void checkFailures(RolloutEvidence evidence) throws MalformedRecordException {
        Map<List<Object>, Long> named = new HashMap<>();
        for (UpstreamFailures failures : evidence.failures()) {
            String route = failures.route();
            long counted = evidence.counts(route, failures.side()).failures();
            List<Object> key = List.of(route, failures.side());
            long before = named.getOrDefault(key, 0L);
            named.put(key, before + inRange("failures", failures.count(), counted - before));
        }
    }

    private static long inRange(String field, long value, long max)
            throws MalformedRecordException {
        if (value < 0 || value > max) {
            throw new MalformedRecordException(
                    "%s is %d: use totals since the order, here 0 to %d"
                            .formatted(field, value, max));
        }
        return value;
    }
}
