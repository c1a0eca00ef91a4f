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
public final class PersistentWriter {

    private static final Logger LOGGER = LogManager.getLogger(PersistentWriter.class);
    private static final Duration FIRST_DELAY = Duration.ofMillis(100);
    private static final Duration APPEND_LIMIT = Duration.ofSeconds(30);
    private static final Duration MAX_DELAY = Duration.ofSeconds(5);

    private final RecordSink mSink;
    private final Scheduler mScheduler;
    private final int mMaxUnfinished;
    private final Supplier<String> mIds;
    private final AtomicInteger mUnfinished = new AtomicInteger();
    private final AtomicInteger mDropped = new AtomicInteger();

    /**
     * Makes a writer.
     *
     * @param maxUnfinished greatest number of records that are not yet kept
     */
    public PersistentWriter(RecordSink sink, Scheduler scheduler, int maxUnfinished) {
        this(sink, scheduler, maxUnfinished, () -> UUID.randomUUID().toString());
    }

    /** Makes a writer with identifiers from the given source. */
    public PersistentWriter(
            RecordSink sink, Scheduler scheduler, int maxUnfinished, Supplier<String> ids) {
        mSink = sink;
        mScheduler = scheduler;
        mMaxUnfinished = maxUnfinished;
        mIds = ids;
    }

    /**
     * Appends a record, with repetition.
     *
     * @return true once the record is kept, false if it was dropped
     */
    public CompletableFuture<Boolean> write(String stream, byte[] data) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        if (mUnfinished.incrementAndGet() > mMaxUnfinished) {
            mUnfinished.decrementAndGet();
            mDropped.incrementAndGet();
            LOGGER.warn("dropped a record for stream {}: {} unfinished", stream, mMaxUnfinished);
            done.complete(false);
            return done;
        }
        attempt(new Pending(stream, mIds.get(), data, done), FIRST_DELAY);
        return done;
    }

    private void attempt(Pending pending, Duration delay) {
        mSink.append(pending.stream(), pending.id(), pending.data(), APPEND_LIMIT)
                .thenAccept(
                        result -> {
                            if (result.isRight()) {
                                mUnfinished.decrementAndGet();
                                pending.done().complete(true);
                            } else {
                                mScheduler.schedule(delay, () -> attempt(pending, longer(delay)));
                            }
                        });
    }

    private static Duration longer(Duration delay) {
        Duration twice = delay.multipliedBy(2);
        return twice.compareTo(MAX_DELAY) < 0 ? twice : MAX_DELAY;
    }

    /** Returns the number of records that are not yet kept. */
    public int unfinished() {
        return mUnfinished.get();
    }

    /** Returns the number of records that were dropped. */
    public int dropped() {
        return mDropped.get();
    }

    private record Pending(
            String stream, String id, byte[] data, CompletableFuture<Boolean> done) {}
}
