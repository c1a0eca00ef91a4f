package org.boragethread.core.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.boragethread.core.time.ExecutorScheduler;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests followers and appenders of a stream, and timers, of which one callback throws. */
public class ThrowingLogCallbackTest implements StreamHandler, PlatformLog {

    private static final String STREAM = "records";
    private static final int WAIT_SECONDS = 10;

    private ManualTimeSource mTime;
    private InMemoryLog mLog;
    private List<Long> mSeen;
    private volatile Failure mFailure;

    /** What throws. */
    public enum Failure {
        NONE,
        READ,
        RESPONSE,
        BATCH,
        EXPIRED,
        APPEND
    }

    @BeforeMethod
    public void create() {
        mTime = new ManualTimeSource();
        mLog = new InMemoryLog(mTime);
        mSeen = new ArrayList<>();
        mFailure = Failure.NONE;
    }

    private void check(Failure failure) {
        if (mFailure == failure) {
            throw new StackOverflowError(failure.name());
        }
    }

    @Override
    public CompletableFuture<Either<LogError, LogBatch>> read(LogRead read) {
        check(Failure.READ);
        return mFailure == Failure.RESPONSE
                ? CompletableFuture.completedFuture(null)
                : mLog.read(read);
    }

    @Override
    public CompletableFuture<Either<LogError, List<Long>>> append(
            String stream, List<LogEntry> entries) {
        check(Failure.APPEND);
        return mLog.append(stream, entries);
    }

    @Override
    public void onBatch(LogBatch batch, boolean caughtUp) {
        check(Failure.BATCH);
        batch.records().forEach(record -> mSeen.add(record.offset()));
    }

    @Override
    public CompletableFuture<Long> onExpired(LogError.Expired expired) {
        check(Failure.EXPIRED);
        return CompletableFuture.completedFuture(expired.first());
    }

    private void run(Duration duration) {
        // A failure that nobody handles must not end the simulated timers.
        for (long millis = 0; millis < duration.toMillis(); millis += 10) {
            try {
                mTime.advance(Duration.ofMillis(10));
            } catch (StackOverflowError ignored) {
                // Its consequences are checked.
            }
        }
    }

    private void append(int count) {
        for (int i = 0; i < count; i++) {
            mLog.append(STREAM, List.of(new LogEntry("id", new byte[0])));
        }
    }

    /** Returns what throws for a while, while a stream is followed. */
    @DataProvider
    public Object[][] readFailures() {
        return new Object[][] {
            {Failure.READ}, {Failure.RESPONSE}, {Failure.BATCH}, {Failure.EXPIRED}
        };
    }

    // Guards against a process that goes on without the records of a stream.
    @Test(dataProvider = "readFailures")
    public void streamIsFollowedAfterAFailure(Failure failure) {
        StreamFollower follower =
                new StreamFollower.Builder()
                        .stream(this, STREAM).time(mTime, mTime).handler(this).seed(7).build();
        append(4);
        mLog.expireBefore(STREAM, 2);
        mFailure = failure;
        follower.start(0);
        run(Duration.ofSeconds(5));
        assertTrue(follower.isFailing());
        mFailure = Failure.NONE;
        run(Duration.ofSeconds(30));
        append(1);
        run(Duration.ofSeconds(5));
        assertEquals(mSeen, List.of(2L, 3L, 4L));
    }

    // Guards against an appender that writes nothing any more because some appends threw.
    @Test
    public void recordsAreWrittenAfterAppendsThrew() {
        BatchingAppender appender =
                new BatchingAppender(
                        this,
                        STREAM,
                        mTime,
                        new AppendRateLimiter(mTime, 100, 20),
                        new AppenderSettings.Builder().build(),
                        7);
        mFailure = Failure.APPEND;
        for (int i = 0; i < 20; i++) {
            appender.write(new LogEntry("lost-" + i, new byte[0]), Duration.ofSeconds(1));
            run(Duration.ofMillis(200));
        }
        run(Duration.ofSeconds(2));
        mFailure = Failure.NONE;
        appender.write(new LogEntry("a", new byte[0]), Duration.ofSeconds(20));
        run(Duration.ofSeconds(20));
        assertEquals(mLog.records(STREAM).stream().map(LogRecord::id).toList(), List.of("a"));
    }

    // Guards against exceptions of timers that nobody learns about.
    @Test
    public void timerThatThrowsIsReported() throws Exception {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        CountDownLatch reported = new CountDownLatch(1);
        try {
            mFailure = Failure.READ;
            new ExecutorScheduler(executor, cause -> reported.countDown())
                    .schedule(Duration.ZERO, () -> check(Failure.READ));
            assertTrue(reported.await(WAIT_SECONDS, TimeUnit.SECONDS));
        } finally {
            executor.shutdownNow();
        }
    }
}
