package org.boragethread.core.record;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.boragethread.core.time.Scheduler;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;

/**
 * Appends a record and waits until the state machine of its stream has applied it.
 *
 * <p>A record that is not applied in time is marked as abandoned. If it is applied later after all,
 * {@link #applied} returns {@link Owner#ABANDONED}, and the caller can undo the effect of the
 * record.
 *
 * @param <V> result of applying one record to the state machine
 */
public final class ConfirmedWriter<V> {

    private static final int MAX_ABANDONED = 100_000;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final RecordSink mSink;
    private final Scheduler mScheduler;
    private final Supplier<String> mIds;
    private final Map<String, CompletableFuture<Either<Refusal, V>>> mWaiting =
            new ConcurrentHashMap<>();
    private final Map<String, Boolean> mAbandoned = new AbandonedRecords();

    /** Creates a writer with random record identifiers. */
    public ConfirmedWriter(RecordSink sink, Scheduler scheduler) {
        this(sink, scheduler, () -> UUID.randomUUID().toString());
    }

    /** Creates a writer with record identifiers from the given source. */
    public ConfirmedWriter(RecordSink sink, Scheduler scheduler, Supplier<String> ids) {
        mSink = sink;
        mScheduler = scheduler;
        mIds = ids;
    }

    /**
     * Appends a record.
     *
     * @param timeout how long to wait for the result
     * @return the result of applying the record, or {@link RefusalReason#LOG_UNAVAILABLE} if it was
     *     not applied in time; in that case the record may still take effect later
     */
    public CompletableFuture<Either<Refusal, V>> write(
            String stream, byte[] data, Duration timeout) {
        String id = mIds.get();
        CompletableFuture<Either<Refusal, V>> future = new CompletableFuture<>();
        mWaiting.put(id, future);
        Scheduler.Timer timer = mScheduler.schedule(timeout, () -> abandon(id, stream));
        future.whenComplete((value, error) -> timer.cancel());
        mSink.append(stream, id, data, timeout)
                .thenAccept(
                        appended -> {
                            if (appended.isLeft()) {
                                abandon(id, stream);
                            }
                        });
        return future;
    }

    private void abandon(String id, String stream) {
        CompletableFuture<Either<Refusal, V>> future;
        synchronized (mAbandoned) {
            future = mWaiting.remove(id);
            if (future == null) {
                return;
            }
            mAbandoned.put(id, true);
        }
        future.complete(
                Either.left(
                        Refusal.notRun(
                                RefusalReason.LOG_UNAVAILABLE,
                                "append to stream \"%s\" was not confirmed in time"
                                        .formatted(stream),
                                RETRY_AFTER)));
    }

    /**
     * Receives the result of applying a record. Must be called for every record of the stream, in
     * order and without holding locks.
     *
     * @return the origin of the record
     */
    public Owner applied(String id, V result) {
        CompletableFuture<Either<Refusal, V>> future;
        synchronized (mAbandoned) {
            future = mWaiting.remove(id);
            if (future == null) {
                return mAbandoned.remove(id) == null ? Owner.OTHER : Owner.ABANDONED;
            }
        }
        future.complete(Either.right(result));
        return Owner.WAITING;
    }

    /** Returns the number of records that wait to be applied. */
    public int waiting() {
        return mWaiting.size();
    }

    /** Origin of an applied record. */
    public enum Owner {
        /** The record was written by another writer, or is a duplicate. */
        OTHER,
        /** The record was written by this writer, and its caller has received the result. */
        WAITING,
        /**
         * The record was written by this writer, but its caller was told that the log is
         * unavailable.
         */
        ABANDONED
    }

    private static final class AbandonedRecords extends LinkedHashMap<String, Boolean> {

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_ABANDONED;
        }
    }
}
