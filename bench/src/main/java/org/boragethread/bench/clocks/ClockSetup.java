package org.boragethread.bench.clocks;

/**
 * Parameters of one simulation of the comparison.
 *
 * @param processes number of processes
 * @param entries number of entries of the probabilistic clock
 * @param increments number of entries that each process increments
 * @param concurrency mean number of messages sent during the mean delay of one
 * @param messages number of broadcasts
 * @param seed seed of all random choices
 */
record ClockSetup(
        int processes, int entries, int increments, double concurrency, int messages, long seed) {

    static final double MEAN_DELAY_MILLIS = 100;
    static final double DELAY_DEVIATION_MILLIS = 20;

    /** Returns the mean time between two messages of one process, in milliseconds. */
    double meanGapMillis() {
        return MEAN_DELAY_MILLIS * processes / concurrency;
    }
}
