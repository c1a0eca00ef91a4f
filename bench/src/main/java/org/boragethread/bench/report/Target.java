package org.boragethread.bench.report;

import java.util.Locale;

/**
 * A figure that is held against a bound.
 *
 * @param name name of the target
 * @param measured measured figure
 * @param bound bound that the figure must keep
 * @param atLeast whether the figure must be at least the bound, rather than at most
 */
public record Target(String name, double measured, double bound, boolean atLeast) {

    /** Returns a target that the figure must not exceed. */
    public static Target atMost(String name, double measured, double bound) {
        return new Target(name, measured, bound, false);
    }

    /** Returns a target that the figure must reach. */
    public static Target atLeast(String name, double measured, double bound) {
        return new Target(name, measured, bound, true);
    }

    /** Tells whether the bound is kept; a figure that was not measured keeps none. */
    public boolean isKept() {
        return atLeast ? measured >= bound : measured <= bound;
    }

    /** Returns the line that the bench prints. */
    public String line() {
        return String.format(
                Locale.ROOT,
                "target %s %.3f %s%.3f %s",
                name,
                measured,
                atLeast ? ">=" : "<=",
                bound,
                isKept() ? "ok" : "short");
    }
}
