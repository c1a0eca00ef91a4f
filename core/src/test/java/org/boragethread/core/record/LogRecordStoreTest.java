package org.boragethread.core.record;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.claim.ClaimDecision;
import org.boragethread.core.claim.ClaimRequest;
import org.boragethread.core.claim.ClaimService;
import org.boragethread.core.claim.ClaimSettings;
import org.boragethread.core.log.AppendRateLimiter;
import org.boragethread.core.log.AppenderSettings;
import org.boragethread.core.log.BatchingAppender;
import org.boragethread.core.log.StreamFollower;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.place.EntryId;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests claims with the real appender and follower on a simulated log. */
public class LogRecordStoreTest {

    private static final String STREAM = "claims-0";
    private static final ClaimTarget TARGET = new ClaimTarget(new UpstreamId("orders-1"), 1);
    private static final ClaimOutcome OUTCOME = ClaimOutcome.of(200, "", new byte[] {1, 2});

    private ManualTimeSource mTime;
    private SimLog mLog;
    private SimPlatformLog mPlatform;

    @BeforeMethod
    public void createLog() {
        mTime = new ManualTimeSource();
        mLog = new SimLog(mTime, new Random(3));
        mPlatform = new SimPlatformLog(mLog, mTime);
    }

    @Test
    public void simultaneousClaimsShareAnAppend() {
        ClaimService service = startEntry("entry-1", 4_000_000);
        List<CompletableFuture<Either<Refusal, ClaimDecision>>> calls = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            calls.add(claim(service, "key-" + i));
        }
        mTime.advance(Duration.ofSeconds(1));
        assertTrue(calls.stream().allMatch(c -> c.join().get() instanceof ClaimDecision.Run));
        assertTrue(mPlatform.appends() < 10, "too many appends: " + mPlatform.appends());
    }

    @Test
    public void outcomeIsReadFromTheLogByAnEntryWithAnEmptyCache() {
        ClaimService first = startEntry("entry-1", 4_000_000);
        CompletableFuture<Either<Refusal, ClaimDecision>> call = claim(first, "key");
        mTime.advance(Duration.ofSeconds(1));
        first.outcome(((ClaimDecision.Run) call.join().get()).ref(), OUTCOME);
        mTime.advance(Duration.ofSeconds(1));
        ClaimService second = startEntry("entry-2", 0);
        mTime.advance(Duration.ofSeconds(1));
        CompletableFuture<Either<Refusal, ClaimDecision>> again = claim(second, "key");
        mTime.advance(Duration.ofSeconds(1));
        assertEquals(((ClaimDecision.Replay) again.join().get()).outcome(), OUTCOME);
    }

    @Test
    public void eachKeyRunsOnceAlthoughAppendsFail() {
        mLog.setFaultProbability(0.5);
        ClaimService first = startEntry("entry-1", 4_000_000);
        ClaimService second = startEntry("entry-2", 4_000_000);
        for (int i = 0; i < 50; i++) {
            List<CompletableFuture<Either<Refusal, ClaimDecision>>> calls =
                    List.of(claim(first, "key-" + i), claim(second, "key-" + i));
            mTime.advance(Duration.ofSeconds(6));
            long runs = calls.stream().filter(c -> isRun(c.join())).count();
            assertTrue(runs <= 1, "key " + i + " runs " + runs + " times");
        }
        mLog.setFaultProbability(0);
        mTime.advance(Duration.ofMinutes(1));
        assertEquals(first.table().openClaims(), second.table().openClaims());
    }

    private static boolean isRun(Either<Refusal, ClaimDecision> decision) {
        return decision.isRight() && decision.get() instanceof ClaimDecision.Run;
    }

    private static CompletableFuture<Either<Refusal, ClaimDecision>> claim(
            ClaimService service, String key) {
        ClaimRequest effect =
                new ClaimRequest(new TeamId("patrol"), key, 1, new RequestId(1, 1), 0);
        return service.claim(effect, TARGET, Duration.ofSeconds(5));
    }

    private ClaimService startEntry(String name, int cacheBytes) {
        AppendRateLimiter budget = new AppendRateLimiter(mTime, 100, 10);
        BatchingAppender appender =
                new BatchingAppender(
                        mPlatform,
                        STREAM,
                        mTime,
                        budget,
                        new AppenderSettings.Builder().build(),
                        1);
        LogRecordStore streams = new LogRecordStore(mPlatform, Map.of(STREAM, appender));
        ClaimService service =
                ClaimService.builder()
                        .entry(new EntryId(name))
                        .settings(
                                ClaimSettings.builder()
                                        .partitions(1)
                                        .cacheBytes(cacheBytes)
                                        .build())
                        .sink(streams)
                        .source(streams)
                        .scheduler(mTime)
                        .time(mTime)
                        .agents((t, r, f) -> CompletableFuture.completedFuture(Optional.empty()))
                        .build();
        StateMachineHandler handler =
                new StateMachineHandler(service.stateMachine(0), appender::readBack);
        new StreamFollower.Builder()
                .stream(mPlatform, STREAM).time(mTime, mTime).handler(handler).build().start(0);
        return service;
    }
}
