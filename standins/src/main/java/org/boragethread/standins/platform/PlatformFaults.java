package org.boragethread.standins.platform;

/**
 * Faults of the platform's service. A body of {@code POST /control} names the members to change.
 *
 * @param down whether the log answers 503 to every call
 * @param hang whether the log takes calls and never answers
 * @param delayMs time before a call takes effect, in milliseconds
 * @param loseAnswers share of appends whose answer is lost after the effect, from 0 to 1
 * @param lateAnswers share of appends whose answer is late after the effect, from 0 to 1
 * @param lateMs delay of a late answer, in milliseconds
 * @param appendsPerSecond greatest rate of appends; more are answered 503
 * @param vmListDown whether the VM list answers 503
 * @param vmLagMs age of the VM list that readers see, in milliseconds
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

    /** Several hundred appends a second and no fault. */
    public static final PlatformFaults NONE =
            new PlatformFaults(false, false, 0, 0, 0, 0, 500, false, 0);

    /** Returns these faults with the log in or out of service. */
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
