package org.boragethread.bench.report;

import java.util.Locale;

/**
 * A measured value with its required bound.
 *
 * @param name name of the target
 * @param measured measured value
 * @param bound required bound
 * @param atLeast whether the bound is a minimum rather than a maximum
 */
public record Target(String name, double measured, double bound, boolean atLeast) {

    /** Returns a target with an upper bound. */
    public static Target atMost(String name, double measured, double bound) {
        return new Target(name, measured, bound, false);
    }

    /** Returns a target with a lower bound. */
    public static Target atLeast(String name, double measured, double bound) {
        return new Target(name, measured, bound, true);
    }

    /** Returns whether the bound is met; NaN, which stands for no measurement, never meets it. */
    public boolean isMet() {
        return atLeast ? measured >= bound : measured <= bound;
    }

    /** Returns the target as a line of text. */
    public String line() {
        return String.format(
                Locale.ROOT,
                "target %s %.3f %s%.3f %s",
                name,
                measured,
                atLeast ? ">=" : "<=",
                bound,
                isMet() ? "ok" : "short");
    }
}
