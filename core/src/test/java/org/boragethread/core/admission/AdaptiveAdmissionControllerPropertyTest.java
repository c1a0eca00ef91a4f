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

/** Checks invariants of {@link AdaptiveAdmissionController} over random sequences of operations. */
public class AdaptiveAdmissionControllerPropertyTest {

    private static final int COLD_LIMIT = 2;
    private static final int MAX_QUEUE = 8;
    private static final int STEPS = 3000;
    private static final int SEEDS = 20;
    private static final UpstreamGroup GROUP =
            new UpstreamGroup(new GroupId("crews"), GroupKind.PLAIN, COLD_LIMIT, 12, false);

    private ManualTimeSource mTime;
    private AdaptiveAdmissionController mController;
    private CallRecorder mCalls;
    private List<CallRecorder.Call> mRunning;
    private List<CallRecorder.Call> mUndecided;
    private int mCollected;

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
        mController =
                new AdaptiveAdmissionController.Builder(mTime, mTime, GROUP)
                        .maxQueue(MAX_QUEUE)
                        .build();
        mCalls = new CallRecorder(mController);
        mRunning = new ArrayList<>();
        mUndecided = new ArrayList<>();
        mCollected = 0;
    }

    @Test(dataProvider = "seeds")
    public void everyCallIsDecidedOnceAndNoneIsAdmittedAboveTheLimit(long seed) {
        start();
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < STEPS; i++) {
            int before = mController.load().inFlight();
            step(random);
            int after = mController.load().inFlight();
            assertTrue(after <= Math.max(before, mController.load().limit()), "in flight " + after);
            assertTrue(mController.load().queued() <= MAX_QUEUE);
        }
        completeAll();
        for (CallRecorder.Call call : mCalls.calls()) {
            assertEquals(call.decisionCount(), 1);
        }
        assertEquals(mController.load().inFlight(), 0);
        assertEquals(mController.load().queued(), 0);
    }

    @Test(dataProvider = "seeds")
    public void coldUpstreamNeverExceedsTheColdLimitWithoutSuccesses(long seed) {
        start();
        SplittableRandom random = new SplittableRandom(seed);
        CallOutcome[] unsuccessful = {
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
                completeOne(random, unsuccessful[random.nextInt(unsuccessful.length)]);
            }
            assertTrue(mController.load().inFlight() <= COLD_LIMIT);
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
                completeOne(
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
        mUndecided.addAll(mCalls.calls().subList(mCollected, mCalls.calls().size()));
        mCollected = mCalls.calls().size();
        mRunning.addAll(mUndecided.stream().filter(CallRecorder.Call::isAdmitted).toList());
        mUndecided.removeIf(call -> call.decisionCount() > 0);
    }

    private void completeOne(SplittableRandom random, CallOutcome outcome) {
        collectAdmitted();
        if (mRunning.isEmpty()) {
            return;
        }
        CallRecorder.Call call = mRunning.remove(random.nextInt(mRunning.size()));
        Duration latency = Duration.ofMillis(20 + random.nextInt(100));
        call.permit().complete(outcome, latency);
    }

    private void completeAll() {
        SplittableRandom random = new SplittableRandom(0);
        mTime.advance(Duration.ofSeconds(10));
        collectAdmitted();
        while (!mRunning.isEmpty()) {
            completeOne(random, CallOutcome.GOOD);
            collectAdmitted();
        }
    }
}
