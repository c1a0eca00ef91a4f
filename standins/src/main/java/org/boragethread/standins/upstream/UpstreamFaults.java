package org.boragethread.standins.upstream;

/**
 * Faults of one upstream. A body of {@code POST /control} names the members to change.
 *
 * @param failRate share of calls answered 500, half of them after the work, from 0 to 1
 * @param slowFactor factor on the time of work
 * @param halfAnswers share of answers that are cut in the middle, from 0 to 1
 * @param stall whether calls and streams make no progress
 * @param busyRate share of calls answered 503 without any work, from 0 to 1
 * @param busySaysNotRun whether such an answer carries {@code Ran: no}
 */
public record UpstreamFaults(
        double failRate,
        double slowFactor,
        double halfAnswers,
        boolean stall,
        double busyRate,
        boolean busySaysNotRun) {

    /** No fault. */
    public static final UpstreamFaults NONE = new UpstreamFaults(0, 1, 0, false, 0, true);

    /** Returns these faults with another share of failing calls. */
    public UpstreamFaults withFailRate(double rate) {
        return new UpstreamFaults(rate, slowFactor, halfAnswers, stall, busyRate, busySaysNotRun);
    }

    /** Returns these faults with another factor on the time of work. */
    public UpstreamFaults withSlowFactor(double factor) {
        return new UpstreamFaults(failRate, factor, halfAnswers, stall, busyRate, busySaysNotRun);
    }

    /** Returns these faults with another share of cut answers. */
    public UpstreamFaults withHalfAnswers(double share) {
        return new UpstreamFaults(failRate, slowFactor, share, stall, busyRate, busySaysNotRun);
    }
}
