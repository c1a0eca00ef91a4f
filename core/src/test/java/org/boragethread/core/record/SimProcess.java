package org.boragethread.core.record;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.time.Scheduler;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;

/** Simulated process that can be paused, resumed and killed. While paused, it runs no tasks. */
public final class SimProcess implements Scheduler, RecordSink, RecordSource {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(10);

    private final SimLog mLog;
    private final Queue<Runnable> mSuspendedTasks = new ArrayDeque<>();
    private final Map<String, CompletableFuture<Either<Refusal, Long>>> mPendingAppends =
            new HashMap<>();
    private boolean mIsPaused;
    private boolean mIsDead;

    public SimProcess(SimLog log) {
        mLog = log;
    }

    public boolean isAlive() {
        return !mIsDead;
    }

    public boolean isPaused() {
        return mIsPaused;
    }

    public void kill() {
        mIsDead = true;
        mSuspendedTasks.clear();
    }

    public void pause() {
        mIsPaused = true;
    }

    /** Resumes the process and runs the tasks that were queued during the pause. */
    public void resume() {
        mIsPaused = false;
        while (!mSuspendedTasks.isEmpty() && !mIsPaused && !mIsDead) {
            mSuspendedTasks.remove().run();
        }
    }

    /** Runs a task in this process, immediately or when the process resumes. */
    public void post(Runnable task) {
        if (mIsDead) {
            return;
        }
        if (mIsPaused) {
            mSuspendedTasks.add(task);
        } else {
            task.run();
        }
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        return mLog.time().schedule(delay, () -> post(task));
    }

    /** Passes the records of a stream from the given offset to a reader, in order. */
    public void follow(String stream, long from, Reader reader) {
        schedule(POLL_INTERVAL, () -> poll(stream, from, reader));
    }

    private void poll(String stream, long from, Reader reader) {
        long next = from;
        while (next < mLog.records(stream).size()) {
            SimLog.Record record = mLog.records(stream).get((int) next);
            reader.read(record);
            next++;
            CompletableFuture<Either<Refusal, Long>> pending = mPendingAppends.remove(record.id());
            if (pending != null) {
                pending.complete(Either.right(record.offset()));
            }
        }
        follow(stream, next, reader);
    }

    @Override
    public CompletableFuture<Either<Refusal, Long>> append(
            String stream, String id, byte[] data, Duration timeout) {
        CompletableFuture<Either<Refusal, Long>> done = new CompletableFuture<>();
        mPendingAppends.put(id, done);
        switch (mLog.nextFault()) {
            case NONE -> appendAfter(mLog.randomDelay(), stream, id, data);
            case DUPLICATED -> {
                appendAfter(mLog.randomDelay(), stream, id, data);
                appendAfter(mLog.randomLongDelay(), stream, id, data);
            }
            case ANSWER_LOST -> {
                appendAfter(mLog.randomDelay(), stream, id, data);
                schedule(mLog.randomLongDelay(), () -> fail(done));
            }
            case DELAYED -> {
                appendAfter(mLog.randomLongDelay(), stream, id, data);
                schedule(mLog.randomDelay(), () -> fail(done));
            }
            default -> schedule(mLog.randomDelay(), () -> fail(done));
        }
        return done;
    }

    // Scheduled on the log, not on this process: a sent append takes effect even if the process
    // dies.
    private void appendAfter(Duration delay, String stream, String id, byte[] data) {
        mLog.time().schedule(delay, () -> mLog.append(stream, id, data));
    }

    private static void fail(CompletableFuture<Either<Refusal, Long>> done) {
        done.complete(
                Either.left(Refusal.notRun(RefusalReason.LOG_UNAVAILABLE, "simulated fault")));
    }

    @Override
    public CompletableFuture<Optional<byte[]>> read(String stream, long offset) {
        boolean isKept = offset >= mLog.firstOffset(stream) && offset < mLog.records(stream).size();
        Optional<byte[]> data =
                isKept
                        ? Optional.of(mLog.records(stream).get((int) offset).data())
                        : Optional.empty();
        return CompletableFuture.completedFuture(data);
    }

    /** Receives the records of a stream in order. */
    public interface Reader {
        /** Receives the next record. */
        void read(SimLog.Record record);
    }
}
