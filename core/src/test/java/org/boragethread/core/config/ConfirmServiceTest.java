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
import org.boragethread.core.log.InMemoryLog;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.config.Plan;
import org.boragethread.model.team.TeamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ConfirmService} with an in-memory log, followers and stores. */
public class ConfirmServiceTest {

    private static final Duration SHORT_DELAY = Duration.ofMillis(200);

    private ManualTimeSource mTime;
    private InMemoryLog mLog;
    private TestEntry mEntryA;
    private TestEntry mEntryB;

    @BeforeMethod
    public void startEntries() {
        mTime = new ManualTimeSource();
        mLog = new InMemoryLog(mTime);
        mEntryA = new TestEntry("a", mLog, mTime).start();
        mEntryB = new TestEntry("b", mLog, mTime).start();
        mTime.advance(SHORT_DELAY);
    }

    @Test
    public void confirmedPlanTakesEffectAtEveryEntry() {
        CompletableFuture<Either<ConfigError, Long>> result =
                mEntryA.confirm(mEntryA.plan("add", team("lines", 2)));
        mTime.advance(SHORT_DELAY);
        assertEquals(result.getNow(null), Either.right(0L));
        assertEquals(mEntryB.config().team(new TeamId("lines")).orElseThrow().weight(), 2);
    }

    @Test
    public void planOfOneEntryCanBeConfirmedAtAnother() {
        CompletableFuture<Either<ConfigError, Long>> result =
                mEntryB.confirm(mEntryA.plan("add", team("lines", 2)));
        mTime.advance(SHORT_DELAY);
        assertEquals(result.getNow(null), Either.right(0L));
    }

    @Test
    public void ofConcurrentConfirmationsOneSucceeds() {
        List<CompletableFuture<Either<ConfigError, Long>>> results =
                IntStream.range(0, 10)
                        .mapToObj(
                                i -> {
                                    TestEntry entry = i % 2 == 0 ? mEntryA : mEntryB;
                                    return entry.confirm(
                                            entry.plan("intent-" + i, team("lines", 1 + i)));
                                })
                        .toList();
        mTime.advance(SHORT_DELAY);
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
    public void confirmationIsIdempotent() {
        Plan plan = mEntryA.plan("add", team("lines", 2));
        mEntryA.confirm(plan);
        CompletableFuture<Either<ConfigError, Long>> repeated = mEntryB.confirm(plan);
        mTime.advance(SHORT_DELAY);
        assertEquals(repeated.getNow(null), Either.right(0L));
        assertEquals(mEntryB.confirm(plan).getNow(null), Either.right(0L));
    }

    @Test
    public void lostLogResponsesDoNotChangeTheResult() {
        mLog.loseResponses(3);
        CompletableFuture<Either<ConfigError, Long>> result =
                mEntryA.confirm(mEntryA.plan("add", team("lines", 2)));
        mTime.advance(Duration.ofSeconds(3));
        assertEquals(result.getNow(null), Either.right(0L));
        assertEquals(mEntryB.config().decisions().size(), 1);
    }

    @Test
    public void confirmationFailsDuringAnOutageAndSucceedsLater() {
        Plan plan = mEntryA.plan("add", team("lines", 2));
        mLog.setUnavailable(true);
        CompletableFuture<Either<ConfigError, Long>> refused = mEntryA.confirm(plan);
        mTime.advance(TestEntry.TIMEOUT);
        assertEquals(refused.getNow(null).getLeft().kind(), ConfigError.Kind.LOG_UNAVAILABLE);
        mLog.setUnavailable(false);
        mTime.advance(InMemoryLog.POLL_ROUND);
        CompletableFuture<Either<ConfigError, Long>> later = mEntryA.confirm(plan);
        mTime.advance(SHORT_DELAY);
        assertTrue(later.getNow(null).isRight());
    }

    @Test
    public void outcomeOfAConfirmationSentBeforeAnOutageIsUnknownUntilRepeated() {
        Plan plan = mEntryA.plan("add", team("lines", 2));
        mEntryA.mFollower.stop();
        mLog.loseResponses(1);
        CompletableFuture<Either<ConfigError, Long>> first = mEntryA.confirm(plan);
        mTime.advance(Duration.ofMillis(20));
        mLog.setUnavailable(true);
        mTime.advance(TestEntry.TIMEOUT);
        assertEquals(first.getNow(null).getLeft().kind(), ConfigError.Kind.OUTCOME_UNKNOWN);
        mLog.setUnavailable(false);
        mEntryA.mFollower.start(0);
        mTime.advance(InMemoryLog.POLL_ROUND);
        assertEquals(mEntryA.confirm(plan).getNow(null), Either.right(0L));
    }

    @Test
    public void planThatNeedsForceIsNotWrittenToTheLog() {
        mEntryA.confirm(
                mEntryA.plan(
                        "base",
                        TestConfigs.dataCentre(TestConfigs.FLORIDA),
                        TestConfigs.dataCentre(TestConfigs.SAN_JOSE),
                        TestConfigs.group(TestConfigs.ENGINES),
                        TestConfigs.pipeline("notes", TestConfigs.ENGINES)));
        mTime.advance(SHORT_DELAY);
        Plan plan =
                mEntryA.plan(
                        "out",
                        TestConfigs.takeOutOfService(TestConfigs.FLORIDA),
                        TestConfigs.takeOutOfService(TestConfigs.SAN_JOSE));
        assertEquals(
                mEntryA.confirm(plan).getNow(null).getLeft().kind(), ConfigError.Kind.NEEDS_FORCE);
        mTime.advance(SHORT_DELAY);
        assertEquals(mLog.records(TestEntry.STREAM).size(), 1);
    }

    @Test
    public void entryWithoutTheLogIsUpdatedByItsPeer() {
        mEntryB.mFollower.stop();
        mEntryA.confirm(mEntryA.plan("add", team("lines", 2)));
        mTime.advance(SHORT_DELAY);
        assertTrue(mEntryB.config().team(new TeamId("lines")).isEmpty());
        mEntryB.pullFrom(mEntryA);
        assertEquals(mEntryB.config().revision(), 0);
        assertEquals(ConfigCodec.hashOf(mEntryB.config()), ConfigCodec.hashOf(mEntryA.config()));
    }

    @Test
    public void entryIsNotLoadedUntilItHasReadTheLogOrAPeer() {
        mEntryA.confirm(mEntryA.plan("add", team("lines", 2)));
        mTime.advance(SHORT_DELAY);
        mLog.setUnavailable(true);
        TestEntry newEntry = new TestEntry("late", mLog, mTime).start();
        mTime.advance(InMemoryLog.POLL_ROUND);
        assertFalse(newEntry.mStore.isLoaded());
        newEntry.pullFrom(mEntryA);
        assertTrue(newEntry.mStore.isLoaded());
    }
}
