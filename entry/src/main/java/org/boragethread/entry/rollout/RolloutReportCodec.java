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
        for (long count : counts.times()) {
            message.addTimes(count);
        }
        return message.build();
    }

    /** Decodes a report. */
    public static EntryReport decode(RolloutReport message) throws MalformedRecordException {
        Map<String, Map<VersionSide, VersionCounts>> counts = new HashMap<>();
        try {
            for (RolloutRouteCounts route : message.getRoutesList()) {
                counts.put(
                        route.getRoute(),
                        Map.of(
                                VersionSide.OLD, decode(route.getOld()),
                                VersionSide.TARGET, decode(route.getTarget())));
            }
            return new EntryReport(
                    message.getAddress(),
                    message.getStartedAt(),
                    message.getSequence(),
                    RolloutCodec.decodeState(message.getState().toByteArray()),
                    message.getOldInFlight(),
                    new RolloutEvidence(counts, decode(message.getFailuresList())));
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

    private static VersionCounts decode(RolloutVersionCounts message) {
        long[] times = message.getTimesList().stream().mapToLong(Long::longValue).toArray();
        return new VersionCounts(
                message.getResponses(), message.getFailures(), message.getAllFailures(), times);
    }
}
