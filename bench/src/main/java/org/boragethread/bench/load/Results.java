package org.boragethread.bench.load;

import java.util.Locale;
import org.boragethread.bench.report.Figures;
import org.boragethread.bench.report.Report;
import org.boragethread.bench.report.Target;

/** Adds the results of one variant of a scenario to the report. */
final class Results {

    private static final double MAX_LATENESS_P99_MS = 100;

    private final String mLabel;
    private final Variant mVariant;
    private final Report mReport;

    Results(String scenario, Variant variant, Report report) {
        mLabel = scenario + " " + variant.label();
        mVariant = variant;
        mReport = report;
    }

    /** Adds the outcomes of the requests and the lateness of the load generator. */
    void add(Tally statistics, UpstreamTotals totals) {
        add("latency", statistics, totals);
    }

    /**
     * Adds the same for one part of a scenario with several parts. Each part needs its own name.
     */
    void add(String part, Tally statistics, UpstreamTotals totals) {
        mReport.add(Figures.of(mLabel + " " + part, statistics.latency()));
        Figures lateness = Figures.of(mLabel + " " + part + " lateness", statistics.lateness());
        mReport.add(lateness);
        if (lateness.p99() > MAX_LATENESS_P99_MS) {
            note("late generator: the load was not offered as intended");
        }
        double perAnswerMs = totals.busyMs() / Math.max(1, statistics.attained());
        note(
                "offered %d attained %d (%.4f) wrong %d calls %d busy/answer %.1f ms wasted %.4f",
                statistics.offered(),
                statistics.attained(),
                statistics.attainment(),
                statistics.wrong(),
                totals.calls(),
                perAnswerMs,
                totals.wastedShare(statistics.attained()));
        note("failures %s", statistics.failures());
        note("attained/offered by second %s", statistics.seconds());
    }

    /** Adds a line of text. */
    void note(String format, Object... values) {
        mReport.note(mLabel + ": " + String.format(Locale.ROOT, format, values));
    }

    /** Adds a target. Baselines only print it; they do not have to meet it. */
    void target(Target target) {
        if (mVariant == Variant.POLICY) {
            mReport.target(target);
        }
        mReport.note(mVariant.label() + " " + target.line());
    }
}
