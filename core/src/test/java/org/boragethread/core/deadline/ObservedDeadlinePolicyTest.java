package org.boragethread.core.deadline;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.pipeline.Pipeline;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.pipeline.Stage;
import org.boragethread.model.upstream.GroupId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ObservedDeadlinePolicy}. */
public class ObservedDeadlinePolicyTest {

    private static final Pipeline PIPELINE = pipeline("summary", 3);
    private static final Duration TOO_SHORT = Duration.ofMillis(500);

    private ManualTimeSource mTime;
    private StageTimes mTimes;
    private ObservedDeadlinePolicy mPolicy;

    @BeforeMethod
    public void createPolicy() {
        mTime = new ManualTimeSource();
        mTimes = new StageTimes(mTime);
        mPolicy = new ObservedDeadlinePolicy(mTime, mTimes);
    }

    private static Pipeline pipeline(String name, int count) {
        List<Stage> stages = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            stages.add(new Stage("stage-" + i, new GroupId("g" + i), "/", true, false));
        }
        return new Pipeline(new PipelineId(name), stages, Duration.ofSeconds(2), 0.99);
    }

    @Test
    public void requestsAreNotRefusedWithoutObservations() {
        for (int i = 0; i < 100; i++) {
            assertTrue(mPolicy.check(PIPELINE, 0, Duration.ofNanos(1)).isEmpty());
        }
    }

    @Test
    public void passedDeadlineIsRefusedWithoutObservations() {
        assertEquals(
                mPolicy.check(PIPELINE, 0, Duration.ZERO).get().reason(),
                RefusalReason.DEADLINE_EXCEEDED);
    }

    @Test
    public void requestThatCannotMeetItsDeadlineIsRefusedBeforeItsFirstStage() {
        observe(100, 200, 300);
        consumeProbe();
        assertEquals(
                mPolicy.check(PIPELINE, 0, TOO_SHORT).get().reason(),
                RefusalReason.DEADLINE_HOPELESS);
        assertTrue(mPolicy.check(PIPELINE, 1, TOO_SHORT.plusMillis(10)).isEmpty());
    }

    @Test
    public void requestIsAdmittedIfTheOptimisticEstimateAllowsIt() {
        observe(10, 10, 10);
        for (int i = 0; i < 4; i++) {
            observe(1000, 1000, 1000);
        }
        consumeProbe();
        assertTrue(mPolicy.check(PIPELINE, 0, Duration.ofMillis(50)).isEmpty());
    }

    @Test
    public void oneInfeasibleRequestPerSecondIsAdmittedAsAProbe() {
        observe(100, 200, 300);
        int passed = 0;
        for (int i = 0; i < 50; i++) {
            passed += mPolicy.check(PIPELINE, 0, TOO_SHORT).isEmpty() ? 1 : 0;
            mTime.advance(Duration.ofMillis(100));
        }
        assertEquals(passed, 5);
    }

    @Test
    public void estimateIsDiscardedWhenNothingIsObserved() {
        observe(100, 200, 300);
        consumeProbe();
        mTime.advance(StageTimes.WINDOW.multipliedBy(2));
        assertTrue(mPolicy.check(PIPELINE, 0, TOO_SHORT).isEmpty());
        assertTrue(mPolicy.check(PIPELINE, 0, TOO_SHORT).isEmpty());
    }

    @Test
    public void typicalTimeOfLaterStagesIsReserved() {
        observe(100, 200, 300);
        Duration timeout = mPolicy.stageTimeout(PIPELINE, 0, Duration.ofMillis(1000));
        assertEquals(timeout.toMillis(), 500, 10);
        assertEquals(mPolicy.stageTimeout(PIPELINE, 2, TOO_SHORT), TOO_SHORT);
    }

    @Test
    public void insufficientTimeIsDividedInProportionToTypicalTimes() {
        observe(100, 200, 300);
        Duration timeout = mPolicy.stageTimeout(PIPELINE, 0, Duration.ofMillis(300));
        assertEquals(timeout.toMillis(), 50, 2);
    }

    @Test
    public void stageWithoutObservationsGetsAnEqualShare() {
        for (int i = 0; i < StageTimes.MIN_SAMPLES; i++) {
            mTimes.record(PIPELINE.id(), 2, Duration.ofMillis(900));
        }
        assertEquals(
                mPolicy.stageTimeout(PIPELINE, 0, Duration.ofMillis(600)), Duration.ofMillis(200));
    }

    @Test
    public void observationsOfRemovedPipelinesAreDiscarded() {
        observe(100, 200, 300);
        mTimes.retain(Set.of(new PipelineId("other")));
        assertFalse(mTimes.quantile(PIPELINE.id(), 0, 0.5).isPresent());
    }

    private void consumeProbe() {
        mPolicy.check(PIPELINE, 0, Duration.ofNanos(1));
    }

    private void observe(long... millis) {
        for (int i = 0; i < StageTimes.MIN_SAMPLES; i++) {
            for (int stage = 0; stage < millis.length; stage++) {
                mTimes.record(PIPELINE.id(), stage, Duration.ofMillis(millis[stage]));
            }
        }
    }
}
