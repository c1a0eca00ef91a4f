package org.boragethread.core.rollout;

/**
 * What the evidence says about the target version.
 *
 * @param kind the verdict
 * @param route route that decided; empty for all routes together
 * @param reason figures behind the verdict, for the log
 */
public record Verdict(Kind kind, String route, String reason) {

    /** Kind of a verdict. */
    public enum Kind {
        /** The evidence does not decide. */
        UNDECIDED,
        /** Responses of the target version are not worse than those of the old one. */
        GOOD,
        /** The target version is worse. */
        BAD
    }
}
