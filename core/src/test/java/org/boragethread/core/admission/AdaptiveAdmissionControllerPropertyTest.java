package org.boragethread.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.team.Priority;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.GroupKind;
import org.boragethread.model.upstream.UpstreamGroup;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Random histories of an {@link AdaptiveAdmissionController}. */
public class AdaptiveAdmissionControllerPropertyTest {

    private static final int COLD = 2;
    private static final int MAX_QUEUE = 8;
    private static final int STEPS = 3000;
    private static final int SEEDS = 20;
    private static final UpstreamGroup GROUP =
            new UpstreamGroup(new GroupId("crews"), GroupKind.PLAIN, COLD, 12, false);

    private ManualTimeSource mTime;
    private AdaptiveAdmissionController mGate;
    private CallRecorder mCalls;
    private List<CallRecorder.Call> mRunning;
    private List<CallRecorder.Call> mOpen;
    private int mSeen;

    @DataProvider
    public Object[] seeds() {
        Object[] seeds = new Object[SEEDS];
        for (int i = 0; i < SEEDS; i++) {
            seeds[i] = (long) i;
        }
        return seeds;
    }

    private void start() {
        mTime = new ManualTimeSource();
        mGate = new AdaptiveAdmissionController.Builder(mTime, mTime, GROUP).maxQueue(MAX_QUEUE).build();
        mCalls = new CallRecorder(mGate);
        mRunning = new ArrayList<>();
        mOpen = new ArrayList<>();
        mSeen = 0;
    }

    @Test(dataProvider = "seeds")
    public void everyCallGetsOneVerdictAndNoneIsAdmittedAboveTheLimit(long seed) {
        start();
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < STEPS; i++) {
            int before = mGate.load().inFlight();
            step(random);
            int after = mGate.load().inFlight();
            assertTrue(after <= Math.max(before, mGate.load().limit()), "in flight " + after);
            assertTrue(mGate.load().queued() <= MAX_QUEUE);
        }
        finishAll();
        for (CallRecorder.Call call : mCalls.calls()) {
            assertEquals(call.decisionCount(), 1);
        }
        assertEquals(mGate.load().inFlight(), 0);
        assertEquals(mGate.load().queued(), 0);
    }

    @Test(dataProvider = "seeds")
    public void coldUpstreamNeverGetsMoreThanTheColdLimitWithoutGoodAnswers(long seed) {
        start();
        SplittableRandom random = new SplittableRandom(seed);
        CallOutcome[] bad = {
            CallOutcome.BUSY,
            CallOutcome.FAILED,
            CallOutcome.UNREACHABLE,
            CallOutcome.TIMED_OUT,
            CallOutcome.CANCELLED
        };
        for (int i = 0; i < STEPS; i++) {
            mTime.advance(Duration.ofMillis(random.nextInt(50)));
            mCalls.submit(priority(random));
            collectAdmitted();
            if (random.nextInt(3) == 0) {
                finishOne(random, bad[random.nextInt(bad.length)]);
            }
            assertTrue(mGate.load().inFlight() <= COLD);
        }
    }

    private void step(SplittableRandom random) {
        switch (random.nextInt(5)) {
            case 0:
                mTime.advance(Duration.ofMillis(random.nextInt(200)));
                break;
            case 1:
                CallOutcome[] outcomes = CallOutcome.values();
                boolean good = random.nextInt(10) > 0;
                finishOne(
                        random,
                        good ? CallOutcome.GOOD : outcomes[random.nextInt(outcomes.length)]);
                break;
            default:
                long left = Duration.ofMillis(random.nextInt(2000)).toNanos();
                mCalls.submit(
                        "team-" + random.nextInt(4),
                        1 + random.nextInt(3),
                        priority(random),
                        mTime.nanoTime() + left);
                break;
        }
        collectAdmitted();
    }

    private static Priority priority(SplittableRandom random) {
        return Priority.values()[random.nextInt(Priority.values().length)];
    }

    private void collectAdmitted() {
        mOpen.addAll(mCalls.calls().subList(mSeen, mCalls.calls().size()));
        mSeen = mCalls.calls().size();
        mRunning.addAll(mOpen.stream().filter(CallRecorder.Call::isAdmitted).toList());
        mOpen.removeIf(call -> call.decisionCount() > 0);
    }

    private void finishOne(SplittableRandom random, CallOutcome outcome) {
        collectAdmitted();
        if (mRunning.isEmpty()) {
            return;
        }
        CallRecorder.Call call = mRunning.remove(random.nextInt(mRunning.size()));
        Duration latency = Duration.ofMillis(20 + random.nextInt(100));
        call.permit().complete(outcome, latency);
    }

    private void finishAll() {
        SplittableRandom random = new SplittableRandom(0);
        mTime.advance(Duration.ofSeconds(10));
        collectAdmitted();
        while (!mRunning.isEmpty()) {
            finishOne(random, CallOutcome.GOOD);
            collectAdmitted();
        }
    }
}
