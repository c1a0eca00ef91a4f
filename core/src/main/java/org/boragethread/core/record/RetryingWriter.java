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
 * Appends records that nobody waits for, and tries again until they are kept. The number of
 * unfinished records is bounded; above the bound a record is dropped and counted.
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
     * Makes a writer.
     *
     * @param maxUnfinished greatest number of records that are not yet kept
     */
    public RetryingWriter(RecordSink sink, Scheduler scheduler, int maxUnfinished) {
        this(sink, scheduler, maxUnfinished, () -> UUID.randomUUID().toString());
    }

    /** Makes a writer with identifiers from the given source. */
    public RetryingWriter(
            RecordSink sink, Scheduler scheduler, int maxUnfinished, Supplier<String> ids) {
        mSink = sink;
        mScheduler = scheduler;
        mMaxPending = maxUnfinished;
        mIds = ids;
    }

    /**
     * Appends a record, with repetition.
     *
     * @return true once the record is kept, false if it was dropped
     */
    public CompletableFuture<Boolean> write(String stream, byte[] data) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        if (mPending.incrementAndGet() > mMaxPending) {
            mPending.decrementAndGet();
            mDropped.incrementAndGet();
            LOGGER.warn("dropped a record for stream {}: {} unfinished", stream, mMaxPending);
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
        Duration twice = delay.multipliedBy(2);
        return twice.compareTo(MAX_DELAY) < 0 ? twice : MAX_DELAY;
    }

    /** Returns the number of records that are not yet kept. */
    public int pending() {
        return mPending.get();
    }

    /** Returns the number of records that were dropped. */
    public int dropped() {
        return mDropped.get();
    }

    private record PendingRecord(
            String stream, String id, byte[] data, CompletableFuture<Boolean> done) {}
}
