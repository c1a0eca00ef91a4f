package org.boragethread.core.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.record.SimLog;
import org.boragethread.core.record.SimProcess;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ClaimService}. */
public class ClaimServiceTest {

    private static final Duration DEADLINE = Duration.ofSeconds(5);
    private static final ClaimTarget TARGET = new ClaimTarget(new UpstreamId("orders-1"), 1);
    private static final ClaimOutcome OUTCOME = ClaimOutcome.of(200, "text/plain", new byte[] {7});
    private static final ClaimSettings SETTINGS =
            ClaimSettings.builder().partitions(1).maxOutcomeBytes(4).maxKeys(3).build();

    private ManualTimeSource mTime;
    private SimLog mLog;
    private Optional<ClaimAnswer> mAgentAnswer;
    private boolean mIsFenced;
    private ClaimService mFirst;
    private ClaimService mSecond;
    private int mIds;

    @BeforeMethod
    public void startEntries() {
        mTime = new ManualTimeSource();
        mLog = new SimLog(mTime, new Random(1));
        mAgentAnswer = Optional.of(ClaimAnswer.of(ClaimAnswer.State.RUNNING));
        mIsFenced = false;
        mFirst = startEntry("entry-1");
        mSecond = startEntry("entry-2");
    }

    @Test
    public void oneOfManyConcurrentCallsRunsAndTheOthersGetItsOutcome() {
        List<CompletableFuture<Either<Refusal, ClaimDecision>>> calls = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            calls.add(claim(i % 2 == 0 ? mFirst : mSecond, "key", 1));
        }
        mTime.advance(Duration.ofMillis(100));
        List<ClaimRef> running = new ArrayList<>();
        calls.stream().filter(CompletableFuture::isDone).forEach(c -> running.add(ref(c)));
        assertEquals(running.size(), 1);
        mFirst.outcome(running.get(0), OUTCOME);
        mTime.advance(Duration.ofMillis(100));
        long replays = calls.stream().filter(c -> isReplay(c.join())).count();
        assertEquals(replays, 9);
    }

    @Test
    public void callWaitsNoLongerThanItsDeadline() {
        run("key");
        CompletableFuture<Either<Refusal, ClaimDecision>> second = claim(mSecond, "key", 1);
        mTime.advance(DEADLINE.minusMillis(1));
        assertFalse(second.isDone());
        mTime.advance(Duration.ofMillis(1));
        assertRefused(second, RefusalReason.KEY_IN_PROGRESS, ExecutionStatus.UNKNOWN);
    }

    @Test
    public void keyWithAnotherBodyIsRefused() {
        claim(mFirst, "key", 1);
        mTime.advance(Duration.ofMillis(100));
        assertRefused(claim(mSecond, "key", 2), RefusalReason.KEY_REUSED, ExecutionStatus.NO);
    }

    @Test
    public void claimThatTheLogRefusesIsNotRun() {
        mLog.setUnavailable(true);
        CompletableFuture<Either<Refusal, ClaimDecision>> call = claim(mFirst, "key", 1);
        mTime.advance(DEADLINE);
        assertRefused(call, RefusalReason.LOG_UNAVAILABLE, ExecutionStatus.NO);
    }

    @Test
    public void claimThatIsReadAfterItsCallerWasRefusedIsReleased() {
        ClaimRecord.Claim record =
                new ClaimRecord.Claim(
                        KeyHash.of(new TeamId("patrol"), "key"),
                        1,
                        new RequestId(1, 1),
                        new EntryId("entry-1"),
                        0,
                        TARGET);
        SimProcess wire = new SimProcess(mLog);
        wire.append("claims-0", "late", ClaimTable.CODEC.encode(record), DEADLINE);
        mTime.advance(Duration.ofMillis(100));
        assertEquals(mSecond.table().openClaims(), 0);
        CompletableFuture<Either<Refusal, ClaimDecision>> call = claim(mSecond, "key", 1);
        mTime.advance(Duration.ofMillis(100));
        assertTrue(call.join().get() instanceof ClaimDecision.Run);
    }

    @Test
    public void outcomeReportedByTheAgentIsReplayedAndRecorded() {
        ClaimRef ref = run("key");
        mAgentAnswer = Optional.of(ClaimAnswer.done(OUTCOME));
        CompletableFuture<Either<Refusal, ClaimDecision>> call = claim(mSecond, "key", 1);
        mTime.advance(Duration.ofSeconds(1));
        assertEquals(call.join().get(), new ClaimDecision.Replay(ref, OUTCOME));
        assertEquals(mFirst.table().openClaims(), 0);
    }

    @Test
    public void youngClaimIsNotFencedButAnOldOneIs() {
        run("key");
        mAgentAnswer = Optional.of(ClaimAnswer.of(ClaimAnswer.State.NEVER_SEEN));
        claim(mSecond, "key", 1);
        mTime.advance(Duration.ofSeconds(4));
        assertFalse(mIsFenced);
        mTime.advance(SETTINGS.fenceAfter());
        CompletableFuture<Either<Refusal, ClaimDecision>> call = claim(mSecond, "key", 1);
        mTime.advance(Duration.ofSeconds(4));
        assertTrue(mIsFenced);
        assertTrue(call.join().get() instanceof ClaimDecision.Run);
    }

    @Test
    public void claimWhoseAgentCannotTellIsUnknownToAllEntries() {
        run("key");
        mAgentAnswer = Optional.of(ClaimAnswer.of(ClaimAnswer.State.UNKNOWN));
        CompletableFuture<Either<Refusal, ClaimDecision>> call = claim(mSecond, "key", 1);
        mTime.advance(Duration.ofSeconds(1));
        assertRefused(call, RefusalReason.KEY_OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN);
        mAgentAnswer = Optional.empty();
        assertRefused(
                claim(mFirst, "key", 1),
                RefusalReason.KEY_OUTCOME_UNKNOWN,
                ExecutionStatus.UNKNOWN);
    }

    @Test
    public void outcomeWhoseBodyIsTooLargeIsReplayedWithoutIt() {
        ClaimOutcome large = ClaimOutcome.of(200, "text/plain", new byte[5]);
        mFirst.outcome(run("key"), large);
        mTime.advance(Duration.ofMillis(100));
        CompletableFuture<Either<Refusal, ClaimDecision>> call = claim(mSecond, "key", 1);
        ClaimDecision.Replay replay = (ClaimDecision.Replay) call.join().get();
        assertEquals(replay.outcome(), large.withoutBody());
    }

    @Test
    public void outcomeIsKeptOnceTheLogIsBack() {
        ClaimRef ref = run("key");
        mLog.setUnavailable(true);
        mFirst.outcome(ref, OUTCOME);
        mTime.advance(Duration.ofSeconds(30));
        assertEquals(mFirst.unsaved(), 1);
        mLog.setUnavailable(false);
        mTime.advance(Duration.ofSeconds(10));
        assertEquals(mFirst.unsaved(), 0);
        assertEquals(mSecond.table().openClaims(), 0);
    }

    @Test
    public void entryWithTooManyKeysMakesNoNewClaims() {
        run("a");
        run("b");
        run("c");
        assertRefused(claim(mFirst, "d", 1), RefusalReason.LOG_UNAVAILABLE, ExecutionStatus.NO);
    }

    private ClaimRef run(String key) {
        CompletableFuture<Either<Refusal, ClaimDecision>> call = claim(mFirst, key, 1);
        mTime.advance(Duration.ofMillis(100));
        return ref(call);
    }

    private static ClaimRef ref(CompletableFuture<Either<Refusal, ClaimDecision>> call) {
        return ((ClaimDecision.Run) call.join().get()).ref();
    }

    private static boolean isReplay(Either<Refusal, ClaimDecision> decision) {
        return decision.get() instanceof ClaimDecision.Replay replay
                && replay.outcome().equals(OUTCOME);
    }

    private static void assertRefused(
            CompletableFuture<Either<Refusal, ClaimDecision>> call,
            RefusalReason reason,
            ExecutionStatus ran) {
        Refusal refusal = call.join().getLeft();
        assertEquals(refusal.reason(), reason);
        assertEquals(refusal.ran(), ran);
    }

    private CompletableFuture<Either<Refusal, ClaimDecision>> claim(
            ClaimService service, String key, long bodyHash) {
        RequestId request = new RequestId(1, mIds++);
        ClaimRequest effect = new ClaimRequest(new TeamId("patrol"), key, bodyHash, request, 0);
        return service.claim(effect, TARGET, DEADLINE);
    }

    private ClaimService startEntry(String name) {
        SimProcess process = new SimProcess(mLog);
        ClaimService service =
                ClaimService.builder()
                        .entry(new EntryId(name))
                        .settings(SETTINGS)
                        .sink(process)
                        .source(process)
                        .scheduler(process)
                        .time(mTime)
                        .agents((target, ref, fence) -> query(fence))
                        .recordIds(() -> "record-" + mIds++)
                        .build();
        process.follow(
                "claims-0", 0, r -> service.apply(0, r.offset(), r.timeMillis(), r.id(), r.data()));
        return service;
    }

    private CompletableFuture<Optional<ClaimAnswer>> query(boolean fence) {
        mIsFenced |= fence;
        return CompletableFuture.completedFuture(mAgentAnswer);
    }
}
