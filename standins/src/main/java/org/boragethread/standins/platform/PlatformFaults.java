package org.boragethread.standins.platform;

/**
 * Faults of the platform's service. The JSON body of {@code POST /control} holds the members to
 * change.
 *
 * @param down whether the log answers every call with status 503
 * @param hang whether the log accepts calls but never responds
 * @param delayMs delay before a call takes effect, in milliseconds
 * @param loseAnswers share of appends that take effect but whose response is lost, from 0 to 1
 * @param lateAnswers share of appends that take effect but whose response is delayed, from 0 to 1
 * @param lateMs delay of a delayed response, in milliseconds
 * @param appendsPerSecond rate limit on appends; further ones are answered with status 503
 * @param vmListDown whether the VM list answers every call with status 503
 * @param vmLagMs delay until readers see a change of the VM list, in milliseconds
 */
public record PlatformFaults(
        boolean down,
        boolean hang,
        long delayMs,
        double loseAnswers,
        double lateAnswers,
        long lateMs,
        int appendsPerSecond,
        boolean vmListDown,
        long vmLagMs) {

    /** No faults; 500 appends per second. */
    public static final PlatformFaults NONE =
            new PlatformFaults(false, false, 0, 0, 0, 0, 500, false, 0);

    /** Returns these faults with the log available or unavailable. */
    public PlatformFaults withDown(boolean down) {
        return new PlatformFaults(
                down,
                hang,
                delayMs,
                loseAnswers,
                lateAnswers,
                lateMs,
                appendsPerSecond,
                vmListDown,
                vmLagMs);
    }
}
