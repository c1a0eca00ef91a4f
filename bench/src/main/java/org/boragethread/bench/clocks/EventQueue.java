package org.boragethread.bench.clocks;

import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Event queue of a discrete event simulation. */
final class EventQueue {

    private record Event(double time, long order, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(time, other.time);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final SplittableRandom mRandom;
    private double mNow;
    private long mOrder;

    EventQueue(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    /** Returns the simulated time, in milliseconds. */
    double now() {
        return mNow;
    }

    void after(double delayMillis, Runnable action) {
        mEvents.add(new Event(mNow + delayMillis, mOrder++, action));
    }

    /** Runs an action after the random delay of one message. */
    void afterDelay(Runnable action) {
        double delay =
                ClockSetup.MEAN_DELAY_MILLIS
                        + mRandom.nextGaussian() * ClockSetup.DELAY_DEVIATION_MILLIS;
        after(Math.max(1, delay), action);
    }

    /** Runs an action after a random time of the given mean. */
    void afterGap(double meanMillis, Runnable action) {
        after(-Math.log(1 - mRandom.nextDouble()) * meanMillis, action);
    }

    void run() {
        while (!mEvents.isEmpty()) {
            Event event = mEvents.poll();
            mNow = event.time();
            event.action().run();
        }
    }
}
