package org.boragethread.entry.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.boragethread.core.rollout.EntryReport;
import org.boragethread.core.rollout.RolloutEvidence;
import org.boragethread.core.rollout.RolloutOrder;
import org.boragethread.core.rollout.RolloutPhase;
import org.boragethread.core.rollout.RolloutRequest;
import org.boragethread.core.rollout.RolloutState;
import org.boragethread.core.rollout.UpstreamFailures;
import org.boragethread.core.rollout.VersionCounts;
import org.boragethread.core.rollout.VersionSide;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.platform.store.MalformedRecordException;
import org.boragethread.wire.proto.RolloutReport;
import org.boragethread.wire.proto.RolloutRouteCounts;
import org.boragethread.wire.proto.RolloutVersionCounts;
import org.testng.annotations.Test;

/** Tests the reports of entries on roll-outs. */
public class RolloutReportCodecTest {

    private static EntryReport report() {
        long[] times = new long[VersionCounts.BUCKETS];
        times[3] = 7;
        RolloutRequest request =
                new RolloutRequest(
                        new GroupId("chat"), new SoftwareVersion("v2"), Duration.ofSeconds(60));
        RolloutState state =
                new RolloutState(
                        new RolloutOrder(request, 5),
                        RolloutPhase.SWITCHING,
                        2,
                        false,
                        List.of(new SoftwareVersion("v0")));
        RolloutEvidence evidence =
                new RolloutEvidence(
                        Map.of(
                                "lookup",
                                Map.of(
                                        VersionSide.OLD,
                                        new VersionCounts(9, 1, 2, times),
                                        VersionSide.TARGET,
                                        new VersionCounts(11, 3, 4, times))),
                        List.of(
                                new UpstreamFailures(
                                        "lookup",
                                        VersionSide.TARGET,
                                        new UpstreamId("engine-1"),
                                        1_764_936_000,
                                        3)));
        return new EntryReport("127.0.0.1:1", 11, 12, state, 3, evidence);
    }

    @Test
    public void reportsAreDecodedAsTheyWereEncoded() throws Exception {
        assertEquals(RolloutReportCodec.decode(RolloutReportCodec.encode(report())), report());
    }

    // Guards against reports that grow with the number of buckets on every route.
    @Test
    public void emptyBucketsAreLeftOut() {
        RolloutReport message = RolloutReportCodec.encode(report());
        assertEquals(message.getRoutes(0).getOld().getTimesList(), List.of(3L, 7L));
    }

    // Guards against a report of another build that throws in the coordinator's event loop.
    @Test
    public void malformedReportsAreRefused() {
        RolloutReport valid = RolloutReportCodec.encode(report());
        RolloutRouteCounts route = valid.getRoutes(0);
        List<RolloutReport> all = new ArrayList<>();
        all.add(RolloutReport.getDefaultInstance());
        all.add(valid.toBuilder().clearState().build());
        all.add(valid.toBuilder().addRoutes(RolloutRouteCounts.newBuilder().setRoute("x")).build());
        all.add(valid.toBuilder().setSequence(-1).build());
        all.add(valid.toBuilder().setOldInFlight(-1).build());
        all.add(valid.toBuilder().removeRoutes(0).build());
        all.add(valid.toBuilder().addFailures(valid.getFailures(0)).build());
        for (Consumer<RolloutVersionCounts.Builder> change :
                List.<Consumer<RolloutVersionCounts.Builder>>of(
                        counts -> counts.setResponses(Long.MAX_VALUE),
                        counts -> counts.setResponses(10),
                        counts -> counts.setFailures(5),
                        counts -> counts.setAllFailures(12),
                        counts -> counts.setTimes(1, 8),
                        counts -> counts.setTimes(1, -1),
                        counts -> counts.setTimes(0, VersionCounts.BUCKETS),
                        counts -> counts.setTimes(0, -1),
                        counts -> counts.addTimes(4),
                        counts -> counts.addTimes(3).addTimes(0))) {
            RolloutRouteCounts.Builder changed = route.toBuilder();
            change.accept(changed.getTargetBuilder());
            all.add(valid.toBuilder().setRoutes(0, changed).build());
        }
        for (RolloutReport malformed : all) {
            assertThrows(
                    MalformedRecordException.class, () -> RolloutReportCodec.decode(malformed));
        }
    }
}
