package org.boragethread.core.config;

import static org.boragethread.core.config.TestConfigs.team;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.boragethread.core.log.MemoryLog;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.config.Plan;
import org.boragethread.model.team.TeamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ConfirmService} with its log, follower and store. */
public class ConfirmServiceTest {

    private static final Duration MOMENT = Duration.ofMillis(200);

    private ManualTimeSource mTime;
    private MemoryLog mLog;
    private TestEntry mA;
    private TestEntry mB;

    @BeforeMethod
    public void startEntries() {
        mTime = new ManualTimeSource();
        mLog = new MemoryLog(mTime);
        mA = new TestEntry("a", mLog, mTime).start();
        mB = new TestEntry("b", mLog, mTime).start();
        mTime.advance(MOMENT);
    }

    @Test
    public void confirmedPlanIsInForceAtEveryEntry() {
        CompletableFuture<Either<ConfigError, Long>> result =
                mA.confirm(mA.plan("add", team("lines", 2)));
        mTime.advance(MOMENT);
        assertEquals(result.getNow(null), Either.right(0L));
        assertEquals(mB.config().team(new TeamId("lines")).orElseThrow().weight(), 2);
    }

    @Test
    public void anyEntryConfirmsThePlanOfAnother() {
        CompletableFuture<Either<ConfigError, Long>> result =
                mB.confirm(mA.plan("add", team("lines", 2)));
        mTime.advance(MOMENT);
        assertEquals(result.getNow(null), Either.right(0L));
    }

    @Test
    public void racingOperatorsHaveOneWinner() {
        List<CompletableFuture<Either<ConfigError, Long>>> results =
                IntStream.range(0, 10)
                        .mapToObj(
                                i -> {
                                    TestEntry entry = i % 2 == 0 ? mA : mB;
                                    return entry.confirm(
                                            entry.plan("intent-" + i, team("lines", 1 + i)));
                                })
                        .toList();
        mTime.advance(MOMENT);
        assertEquals(results.stream().filter(r -> r.getNow(null).isRight()).count(), 1);
        for (CompletableFuture<Either<ConfigError, Long>> result : results) {
            if (result.getNow(null).isLeft()) {
                ConfigError error = result.getNow(null).getLeft();
                assertEquals(error.kind(), ConfigError.Kind.CONFLICT);
                assertTrue(
                        error.detail().contains("team \"lines\" was added at revision 0"),
                        error.detail());
            }
        }
    }

    @Test
    public void confirmationIsSafeToRepeat() {
        Plan plan = mA.plan("add", team("lines", 2));
        mA.confirm(plan);
        CompletableFuture<Either<ConfigError, Long>> same = mB.confirm(plan);
        mTime.advance(MOMENT);
        assertEquals(same.getNow(null), Either.right(0L));
        assertEquals(mB.confirm(plan).getNow(null), Either.right(0L));
    }

    @Test
    public void lostAnswersChangeNothing() {
        mLog.loseAnswers(3);
        CompletableFuture<Either<ConfigError, Long>> result =
                mA.confirm(mA.plan("add", team("lines", 2)));
        mTime.advance(Duration.ofSeconds(3));
        assertEquals(result.getNow(null), Either.right(0L));
        assertEquals(mB.config().decisions().size(), 1);
    }

    @Test
    public void outageRefusesTheConfirmationAndTheSamePlanServesLater() {
        Plan plan = mA.plan("add", team("lines", 2));
        mLog.setDown(true);
        CompletableFuture<Either<ConfigError, Long>> refused = mA.confirm(plan);
        mTime.advance(TestEntry.TIMEOUT);
        assertEquals(refused.getNow(null).getLeft().kind(), ConfigError.Kind.LOG_UNAVAILABLE);
        mLog.setDown(false);
        mTime.advance(MemoryLog.ROUND);
        CompletableFuture<Either<ConfigError, Long>> later = mA.confirm(plan);
        mTime.advance(MOMENT);
        assertTrue(later.getNow(null).isRight());
    }

    @Test
    public void confirmationThatWasSentBeforeAnOutageIsUnknownUntilAskedAgain() {
        Plan plan = mA.plan("add", team("lines", 2));
        mA.mFollower.stop();
        mLog.loseAnswers(1);
        CompletableFuture<Either<ConfigError, Long>> unknown = mA.confirm(plan);
        mTime.advance(Duration.ofMillis(20));
        mLog.setDown(true);
        mTime.advance(TestEntry.TIMEOUT);
        assertEquals(unknown.getNow(null).getLeft().kind(), ConfigError.Kind.OUTCOME_UNKNOWN);
        mLog.setDown(false);
        mA.mFollower.start(0);
        mTime.advance(MemoryLog.ROUND);
        assertEquals(mA.confirm(plan).getNow(null), Either.right(0L));
    }

    @Test
    public void planThatNeedsForceIsNeverSent() {
        mA.confirm(
                mA.plan(
                        "base",
                        TestConfigs.dataCentre(TestConfigs.FLORIDA),
                        TestConfigs.dataCentre(TestConfigs.SAN_JOSE),
                        TestConfigs.group(TestConfigs.ENGINES),
                        TestConfigs.pipeline("notes", TestConfigs.ENGINES)));
        mTime.advance(MOMENT);
        Plan plan =
                mA.plan(
                        "out",
                        TestConfigs.out(TestConfigs.FLORIDA),
                        TestConfigs.out(TestConfigs.SAN_JOSE));
        assertEquals(mA.confirm(plan).getNow(null).getLeft().kind(), ConfigError.Kind.NEEDS_FORCE);
        mTime.advance(MOMENT);
        assertEquals(mLog.records(TestEntry.STREAM).size(), 1);
    }

    @Test
    public void entryCutOffFromTheLogLearnsFromItsPeer() {
        mB.mFollower.stop();
        mA.confirm(mA.plan("add", team("lines", 2)));
        mTime.advance(MOMENT);
        assertTrue(mB.config().team(new TeamId("lines")).isEmpty());
        mB.pullFrom(mA);
        assertEquals(mB.config().revision(), 0);
        assertEquals(ConfigCodec.hashOf(mB.config()), ConfigCodec.hashOf(mA.config()));
    }

    @Test
    public void entryIsNotLoadedBeforeItHasReadTheLogOrAPeer() {
        mA.confirm(mA.plan("add", team("lines", 2)));
        mTime.advance(MOMENT);
        mLog.setDown(true);
        TestEntry late = new TestEntry("late", mLog, mTime).start();
        mTime.advance(MemoryLog.ROUND);
        assertFalse(late.mStore.isLoaded());
        late.pullFrom(mA);
        assertTrue(late.mStore.isLoaded());
    }
}
