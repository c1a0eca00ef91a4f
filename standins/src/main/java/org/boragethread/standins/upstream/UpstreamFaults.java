package org.boragethread.standins.upstream;

/**
 * Faults of one upstream. The JSON body of {@code POST /control} holds the members to change.
 *
 * @param failRate share of calls answered with status 500, about half of them after the work, from
 *     0 to 1
 * @param slowFactor factor on service times
 * @param halfAnswers share of responses that break off halfway, from 0 to 1
 * @param stall whether calls and streams make no progress
 * @param busyRate share of calls answered with status 503 without any work, from 0 to 1
 * @param busySaysNotRun whether such a response carries the header {@code Ran: no}
 */
public record UpstreamFaults(
        double failRate,
        double slowFactor,
        double halfAnswers,
        boolean stall,
        double busyRate,
        boolean busySaysNotRun) {

    /** No faults. */
    public static final UpstreamFaults NONE = new UpstreamFaults(0, 1, 0, false, 0, true);

    /** Returns these faults with another share of failing calls. */
    public UpstreamFaults withFailRate(double rate) {
        return new UpstreamFaults(rate, slowFactor, halfAnswers, stall, busyRate, busySaysNotRun);
    }

    /** Returns these faults with another factor on service times. */
    public UpstreamFaults withSlowFactor(double factor) {
        return new UpstreamFaults(failRate, factor, halfAnswers, stall, busyRate, busySaysNotRun);
    }

    /** Returns these faults with another share of responses that break off halfway. */
    public UpstreamFaults withHalfAnswers(double share) {
        return new UpstreamFaults(failRate, slowFactor, share, stall, busyRate, busySaysNotRun);
    }
}
