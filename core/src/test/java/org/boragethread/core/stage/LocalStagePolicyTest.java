package org.boragethread.core.stage;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.boragethread.core.callback.Supervisors;
import org.boragethread.core.retry.SharedRetryBudget;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;
import org.testng.annotations.Test;

/** Tests {@link LocalStagePolicy}. */
public class LocalStagePolicyTest {

    /** Guards against work for each submission that only the shared policy needs. */
    @Test
    public void submissionListsTheUpstreamsOnce() {
        ManualTimeSource time = new ManualTimeSource();
        Duration call = Duration.ofMillis(150);
        BatchLimits limits =
                new BatchLimits(1, 2, 7, call, Duration.ZERO, 1 << 30, Duration.ofSeconds(4));
        SimUpstreams upstreams = new SimUpstreams(time, limits, "north");
        AtomicInteger lists = new AtomicInteger();
        BatchGroup group =
                new BatchGroup() {
                    @Override
                    public String name() {
                        return upstreams.name();
                    }

                    @Override
                    public Optional<BatchLimits> limits() {
                        return upstreams.limits();
                    }

                    @Override
                    public List<UpstreamNode> upstreams() {
                        lists.incrementAndGet();
                        return upstreams.upstreams();
                    }
                };
        BatchScheduler scheduler =
                new BatchScheduler(
                        group,
                        upstreams,
                        new SharedRetryBudget(time, 0, Duration.ofSeconds(10), () -> 100),
                        time,
                        time,
                        Supervisors.rethrowing(),
                        new LocalStagePolicy());
        long end = Duration.ofSeconds(6).toNanos();
        PieceListener listener =
                new PieceListener() {
                    @Override
                    public void onCompleted(PieceWork done, ResultLocation location) {}

                    @Override
                    public void onFailed(PieceWork failed, StageFailure failure) {}
                };
        PieceWork work = new PieceWork("r", 0, 0, end, "key", 1000, Optional.empty());
        PieceUrgency urgency = new PieceUrgency(0, end, false, false);
        scheduler.submit(List.of(new PendingPiece(work, urgency, Optional.empty(), listener, 0)));
        assertEquals(lists.get(), 1);
    }
}
