package org.boragethread.core.time;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Time that stands still until {@link #advance} moves it. Tasks run on the thread that advances the
 * time, in order of their due times. Embedders use it in tests.
 */
public final class ManualTimeSource implements TimeSource, Scheduler {

    private final Instant mStart;
    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::due).thenComparingLong(Task::order));
    private long mNanos;
    private long mOrder;

    /** Starts at the Unix epoch. */
    public ManualTimeSource() {
        this(Instant.EPOCH);
    }

    /** Starts at the given instant. */
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
        Task entry = new Task(mNanos + Math.max(0, delay.toNanos()), mOrder++, task);
        mTasks.add(entry);
        return () -> remove(entry);
    }

    /** Moves time forward and runs each task when its time comes. */
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
        if (next == null || next.due() > end) {
            return null;
        }
        mTasks.remove();
        mNanos = Math.max(mNanos, next.due());
        return next;
    }

    private record Task(long due, long order, Runnable action) {}
}
