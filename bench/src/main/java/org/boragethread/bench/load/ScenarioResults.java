package org.boragethread.bench.load;

import java.util.Locale;
import org.boragethread.bench.report.Percentiles;
import org.boragethread.bench.report.Report;
import org.boragethread.bench.report.Target;

/** Adds the results of one variant of a scenario to the report. */
final class ScenarioResults {

    private static final double MAX_LATENESS_P99_MS = 100;

    private final String mLabel;
    private final Variant mVariant;
    private final Report mReport;

    ScenarioResults(String scenario, Variant variant, Report report) {
        mLabel = scenario + " " + variant.label();
        mVariant = variant;
        mReport = report;
    }

    /** Adds the outcomes of the requests and the lateness of the load generator. */
    void add(RunStatistics statistics, UpstreamTotals totals) {
        add("latency", statistics, totals);
    }

    /**
     * Adds the same for one part of a scenario with several parts. Each part needs its own name.
     */
    void add(String part, RunStatistics statistics, UpstreamTotals totals) {
        mReport.add(Percentiles.of(mLabel + " " + part, statistics.latency()));
        Percentiles lateness =
                Percentiles.of(mLabel + " " + part + " lateness", statistics.lateness());
        mReport.add(lateness);
        if (lateness.p99() > MAX_LATENESS_P99_MS) {
            addNote("late generator: the load was not offered as intended");
        }
        double perAnswerMs = totals.busyMs() / Math.max(1, statistics.attained());
        addNote(
                "offered %d attained %d (%.4f) wrong %d calls %d busy/answer %.1f ms wasted %.4f",
                statistics.offered(),
                statistics.attained(),
                statistics.attainment(),
                statistics.wrongAnswers(),
                totals.calls(),
                perAnswerMs,
                totals.wastedShare(statistics.attained()));
        addNote("failures %s", statistics.failures());
        addNote("attained/offered by second %s", statistics.countsBySecond());
    }

    /** Adds a line of text. */
    void addNote(String format, Object... values) {
        mReport.addNote(mLabel + ": " + String.format(Locale.ROOT, format, values));
    }

    /** Adds a target. Baselines only print it; they do not have to meet it. */
    void addTarget(Target target) {
        if (mVariant == Variant.POLICY) {
            mReport.addTarget(target);
        }
        mReport.addNote(mVariant.label() + " " + target.line());
    }
}
