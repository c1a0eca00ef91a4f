package org.boragethread.core.record;

import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.time.Scheduler;

/**
 * Appends records in the background and retries until they are written. The number of pending
 * records is bounded; records above the bound are dropped and counted.
 */
public final class RetryingWriter {

    private static final Logger LOGGER = LogManager.getLogger(RetryingWriter.class);
    private static final Duration FIRST_DELAY = Duration.ofMillis(100);
    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration MAX_DELAY = Duration.ofSeconds(5);

    private final RecordSink mSink;
    private final Scheduler mScheduler;
    private final int mMaxPending;
    private final Supplier<String> mIds;
    private final AtomicInteger mPending = new AtomicInteger();
    private final AtomicInteger mDropped = new AtomicInteger();

    /**
     * Creates a writer.
     *
     * @param maxPending maximum number of records that are not yet written
     */
    public RetryingWriter(RecordSink sink, Scheduler scheduler, int maxPending) {
        this(sink, scheduler, maxPending, () -> UUID.randomUUID().toString());
    }

    /** Creates a writer with record identifiers from the given source. */
    public RetryingWriter(
            RecordSink sink, Scheduler scheduler, int maxPending, Supplier<String> ids) {
        mSink = sink;
        mScheduler = scheduler;
        mMaxPending = maxPending;
        mIds = ids;
    }

    /**
     * Appends a record, retrying until it is written.
     *
     * @return true once the record is written, false if it was dropped
     */
    public CompletableFuture<Boolean> write(String stream, byte[] data) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        if (mPending.incrementAndGet() > mMaxPending) {
            mPending.decrementAndGet();
            mDropped.incrementAndGet();
            LOGGER.warn(
                    "dropped a record for stream {}: {} records are already pending",
                    stream,
                    mMaxPending);
            done.complete(false);
            return done;
        }
        attempt(new PendingRecord(stream, mIds.get(), data, done), FIRST_DELAY);
        return done;
    }

    private void attempt(PendingRecord pending, Duration delay) {
        mSink.append(pending.stream(), pending.id(), pending.data(), APPEND_TIMEOUT)
                .thenAccept(
                        result -> {
                            if (result.isRight()) {
                                mPending.decrementAndGet();
                                pending.done().complete(true);
                            } else {
                                mScheduler.schedule(
                                        delay, () -> attempt(pending, nextDelay(delay)));
                            }
                        });
    }

    private static Duration nextDelay(Duration delay) {
        Duration doubled = delay.multipliedBy(2);
        return doubled.compareTo(MAX_DELAY) < 0 ? doubled : MAX_DELAY;
    }

    /** Returns the number of records that are not yet written. */
    public int pending() {
        return mPending.get();
    }

    /** Returns the number of dropped records. */
    public int dropped() {
        return mDropped.get();
    }

    private record PendingRecord(
            String stream, String id, byte[] data, CompletableFuture<Boolean> done) {}
}
