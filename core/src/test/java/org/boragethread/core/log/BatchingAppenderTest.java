package org.boragethread.core.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link BatchingAppender}. */
public class BatchingAppenderTest {

    private static final String STREAM = "records";
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private ManualTimeSource mTime;
    private InMemoryLog mLog;
    private BatchingAppender mAppender;
    private StreamFollower mFollower;

    @BeforeMethod
    public void startAppender() {
        mTime = new ManualTimeSource();
        mLog = new InMemoryLog(mTime);
        mAppender = appender(new AppenderSettings.Builder().maxPending(1000).build());
    }

    private BatchingAppender appender(AppenderSettings settings) {
        BatchingAppender result =
                new BatchingAppender(
                        mLog, STREAM, mTime, new AppendRateLimiter(mTime, 100, 10), settings, 1);
        if (mFollower != null) {
            mFollower.stop();
        }
        mFollower =
                new StreamFollower.Builder()
                        .stream(mLog, STREAM)
                                .time(mTime, mTime)
                                .handler(new ReadBack(result))
                                .build();
        return result;
    }

    private CompletableFuture<Either<WriteError, Long>> write(int number) {
        return mAppender.write(new LogEntry("record-" + number, new byte[10]), TIMEOUT);
    }

    @Test
    public void recordsOfAFewMillisecondsShareOneAppend() {
        mFollower.start(0);
        List<CompletableFuture<Either<WriteError, Long>>> writes = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            writes.add(write(i));
        }
        mTime.advance(Duration.ofMillis(50));
        assertEquals(mLog.appends(), 1);
        assertEquals(writes.get(49).getNow(null), Either.right(49L));
    }

    @Test
    public void writeIsNotDoneBeforeItsRecordIsReadBack() {
        CompletableFuture<Either<WriteError, Long>> write = write(1);
        mTime.advance(Duration.ofMillis(50));
        assertEquals(mLog.records(STREAM).size(), 1);
        assertFalse(write.isDone());
        mFollower.start(0);
        mTime.advance(Duration.ofMillis(50));
        assertEquals(write.getNow(null), Either.right(0L));
    }

    @Test
    public void appendWithoutResponseIsRetriedWithTheSameIds() {
        mLog.loseResponses(2);
        CompletableFuture<Either<WriteError, Long>> write = write(1);
        mTime.advance(Duration.ofSeconds(1));
        assertEquals(
                mLog.records(STREAM).stream().map(LogRecord::id).toList(),
                List.of("record-1", "record-1", "record-1"));
        mFollower.start(0);
        mTime.advance(Duration.ofMillis(50));
        assertEquals(write.getNow(null), Either.right(0L));
    }

    @Test
    public void recordThatWasReadBackIsNotRetriedAfterALostResponse() {
        mFollower.start(0);
        mLog.loseResponses(1);
        CompletableFuture<Either<WriteError, Long>> write = write(1);
        mTime.advance(Duration.ofSeconds(5));
        assertEquals(write.getNow(null), Either.right(0L));
        assertEquals(mLog.records(STREAM).size(), 1);
    }

    @Test
    public void outageIsReportedAsNotWritten() {
        mLog.setUnavailable(true);
        CompletableFuture<Either<WriteError, Long>> write = write(1);
        mTime.advance(TIMEOUT);
        assertEquals(write.getNow(null).getLeft().kind(), WriteError.Kind.NOT_WRITTEN);
        mLog.setUnavailable(false);
        mTime.advance(TIMEOUT);
        assertEquals(mLog.records(STREAM), List.of());
    }

    @Test
    public void outageAfterALostResponseIsReportedAsUnknown() {
        mLog.loseResponses(1);
        CompletableFuture<Either<WriteError, Long>> write = write(1);
        mTime.advance(Duration.ofMillis(10));
        mLog.setUnavailable(true);
        mTime.advance(TIMEOUT);
        assertEquals(write.getNow(null).getLeft().kind(), WriteError.Kind.OUTCOME_UNKNOWN);
    }

    @Test
    public void writeSucceedsWhenAnOutageEndsInTime() {
        mFollower.start(0);
        mLog.setUnavailable(true);
        CompletableFuture<Either<WriteError, Long>> write = write(1);
        mTime.advance(Duration.ofSeconds(2));
        mLog.setUnavailable(false);
        mTime.advance(Duration.ofSeconds(7));
        assertEquals(write.getNow(null), Either.right(0L));
    }

    @Test
    public void appendsStayWithinTheRateLimit() {
        mAppender = appender(new AppenderSettings.Builder().maxRecords(1).build());
        mFollower.start(0);
        for (int i = 0; i < 500; i++) {
            write(i);
        }
        mTime.advance(Duration.ofSeconds(1));
        assertTrue(mLog.appends() <= 110, "too many appends: " + mLog.appends());
        mTime.advance(Duration.ofSeconds(5));
        assertEquals(mLog.appends(), 500);
    }

    @Test
    public void recordsBeyondTheMaximumAreRefusedImmediately() {
        for (int i = 0; i < 1000; i++) {
            write(i);
        }
        assertEquals(write(1000).getNow(null).getLeft().kind(), WriteError.Kind.OVERLOADED);
    }

    @Test
    public void recordLargerThanTheLogAcceptsIsRejected() {
        LogEntry large = new LogEntry("large", new byte[PlatformLog.MAX_RECORD_BYTES + 1]);
        assertEquals(
                mAppender.write(large, TIMEOUT).getNow(null).getLeft().kind(),
                WriteError.Kind.REJECTED);
    }

    private record ReadBack(BatchingAppender appender) implements StreamHandler {
        @Override
        public void onBatch(LogBatch batch, boolean caughtUp) {
            batch.records().forEach(appender::readBack);
        }

        @Override
        public CompletableFuture<Long> onExpired(LogError.Expired expired) {
            return CompletableFuture.completedFuture(expired.first());
        }
    }
}
