package org.boragethread.bench.load;

import java.util.Locale;
import org.boragethread.bench.report.Figures;
import org.boragethread.bench.report.Report;
import org.boragethread.bench.report.Target;

/** Takes the results of one variant of a scenario into the report. */
final class Results {

    private static final double LATE_P99_MS = 100;

    private final String mLabel;
    private final Variant mVariant;
    private final Report mReport;

    Results(String scenario, Variant variant, Report report) {
        mLabel = scenario + " " + variant.label();
        mVariant = variant;
        mReport = report;
    }

    /** Adds what became of the requests and how late the generator was. */
    void add(Tally tally, UpstreamTotals totals) {
        add("latency", tally, totals);
    }

    /** Adds the same for one part of a scenario of several; names of parts differ. */
    void add(String part, Tally tally, UpstreamTotals totals) {
        mReport.add(Figures.of(mLabel + " " + part, tally.latency()));
        Figures lateness = Figures.of(mLabel + " " + part + " lateness", tally.lateness());
        mReport.add(lateness);
        if (lateness.p99() > LATE_P99_MS) {
            note("late generator: the load was not offered as intended");
        }
        double perAnswerMs = totals.busyMs() / Math.max(1, tally.attained());
        note(
                "offered %d attained %d (%.4f) wrong %d calls %d busy/answer %.1f ms wasted %.4f",
                tally.offered(),
                tally.attained(),
                tally.attainment(),
                tally.wrong(),
                totals.calls(),
                perAnswerMs,
                totals.wastedShare(tally.attained()));
        note("failures %s", tally.failures());
        note("attained/offered by second %s", tally.seconds());
    }

    /** Adds a line of text. */
    void note(String format, Object... values) {
        mReport.note(mLabel + ": " + String.format(Locale.ROOT, format, values));
    }

    /** Adds a figure with its bound; only the policies are held against it. */
    void target(Target target) {
        if (mVariant == Variant.POLICY) {
            mReport.target(target);
        }
        mReport.note(mVariant.label() + " " + target.line());
    }
}
