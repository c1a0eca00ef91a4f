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
 * Appends a record and waits until the fold of its stream has judged it.
 *
 * <p>A record whose verdict did not come in time is remembered as abandoned. If it is read later
 * after all, {@link #applied} tells so, and the writer can undo what the record did.
 *
 * @param <V> verdict of the fold on one record
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

    /** Writes records with random identifiers. */
    public ConfirmedWriter(RecordSink sink, Scheduler scheduler) {
        this(sink, scheduler, () -> UUID.randomUUID().toString());
    }

    /** Writes records with identifiers from the given source. */
    public ConfirmedWriter(RecordSink sink, Scheduler scheduler, Supplier<String> ids) {
        mSink = sink;
        mScheduler = scheduler;
        mIds = ids;
    }

    /**
     * Appends a record.
     *
     * @param limit longest wait for the verdict
     * @return the verdict, or {@link RefusalReason#LOG_UNAVAILABLE} if none came in time; the
     *     record may still take effect then
     */
    public CompletableFuture<Either<Refusal, V>> write(String stream, byte[] data, Duration limit) {
        String id = mIds.get();
        CompletableFuture<Either<Refusal, V>> verdict = new CompletableFuture<>();
        mWaiting.put(id, verdict);
        Scheduler.Timer timer = mScheduler.schedule(limit, () -> abandon(id, stream));
        verdict.whenComplete((value, error) -> timer.cancel());
        mSink.append(stream, id, data, limit)
                .thenAccept(
                        result -> {
                            if (result.isLeft()) {
                                abandon(id, stream);
                            }
                        });
        return verdict;
    }

    private void abandon(String id, String stream) {
        CompletableFuture<Either<Refusal, V>> verdict;
        synchronized (mAbandoned) {
            verdict = mWaiting.remove(id);
            if (verdict == null) {
                return;
            }
            mAbandoned.put(id, true);
        }
        verdict.complete(
                Either.left(
                        Refusal.notRun(
                                RefusalReason.LOG_UNAVAILABLE,
                                "no confirmed append to stream \"%s\" in time".formatted(stream),
                                RETRY_AFTER)));
    }

    /**
     * Takes the fold's verdict on a record. Call it for every record of the stream, in order and
     * without holding locks.
     *
     * @return whose record it was
     */
    public Owner applied(String id, V verdict) {
        CompletableFuture<Either<Refusal, V>> waiting;
        synchronized (mAbandoned) {
            waiting = mWaiting.remove(id);
            if (waiting == null) {
                return mAbandoned.remove(id) == null ? Owner.OTHER : Owner.ABANDONED;
            }
        }
        waiting.complete(Either.right(verdict));
        return Owner.WAITING;
    }

    /** Returns the number of records that wait for a verdict. */
    public int waiting() {
        return mWaiting.size();
    }

    /** Whose record was applied. */
    public enum Owner {
        /** Some other writer's, or a repeated record. */
        OTHER,
        /** This writer's, and its caller has been told. */
        WAITING,
        /** This writer's, but its caller was told that the log is unavailable. */
        ABANDONED
    }

    private static final class AbandonedRecords extends LinkedHashMap<String, Boolean> {

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_ABANDONED;
        }
    }
}
