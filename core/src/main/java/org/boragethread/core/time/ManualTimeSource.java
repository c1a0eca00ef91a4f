package org.boragethread.core.time;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock for tests that only advances when {@link #advance} is called. Tasks run on the thread
 * that advances the time, in order of their due times. Embedding programs use it in their tests
 * too.
 */
public final class ManualTimeSource implements TimeSource, Scheduler {

    private final Instant mStart;
    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::sequence));
    private long mNanos;
    private long mNextSequence;

    /** Creates a clock that starts at the Unix epoch. */
    public ManualTimeSource() {
        this(Instant.EPOCH);
    }

    /** Creates a clock that starts at the given instant. */
    public ManualTimeSource(Instant start) {
        mStart = start;
    }

    @Override
    public synchronized Instant instant() {
        return mStart.plusNanos(mNanos);
    }

    @Override
    public synchronized long nanoTime() {
        return mNanos;
    }

    @Override
    public synchronized Timer schedule(Duration delay, Runnable task) {
        Task scheduled = new Task(mNanos + Math.max(0, delay.toNanos()), mNextSequence++, task);
        mTasks.add(scheduled);
        return () -> remove(scheduled);
    }

    /** Advances the time and runs each task at its due time. */
    public void advance(Duration duration) {
        long end = nanoTime() + duration.toNanos();
        Task next = takeDueBy(end);
        while (next != null) {
            next.action().run();
            next = takeDueBy(end);
        }
        setNanos(end);
    }

    private synchronized void setNanos(long nanos) {
        mNanos = Math.max(mNanos, nanos);
    }

    private synchronized void remove(Task task) {
        mTasks.remove(task);
    }

    private synchronized Task takeDueBy(long end) {
        Task next = mTasks.peek();
        if (next == null || next.dueNanos() > end) {
            return null;
        }
        mTasks.remove();
        mNanos = Math.max(mNanos, next.dueNanos());
        return next;
    }

    private record Task(long dueNanos, long sequence, Runnable action) {}
}
