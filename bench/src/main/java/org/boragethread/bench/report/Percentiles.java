package org.boragethread.bench.report;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Percentiles of one measurement, in milliseconds.
 *
 * @param name what was measured
 * @param count number of samples
 * @param p50 median
 * @param p95 95th percentile
 * @param p99 99th percentile
 * @param max largest sample
 */
public record Percentiles(String name, long count, double p50, double p95, double p99, double max) {

    /** Header of the CSV file. */
    public static final String CSV_HEADER = "name,count,p50_ms,p95_ms,p99_ms,max_ms";

    private static final double MICROS_PER_MS = 1000;

    /** Returns the percentiles of a histogram of microseconds. */
    public static Percentiles of(String name, Histogram micros) {
        return new Percentiles(
                name,
                micros.getTotalCount(),
                micros.getValueAtPercentile(50) / MICROS_PER_MS,
                micros.getValueAtPercentile(95) / MICROS_PER_MS,
                micros.getValueAtPercentile(99) / MICROS_PER_MS,
                micros.getMaxValue() / MICROS_PER_MS);
    }

    /** Returns the differences between these percentiles and those of a baseline. */
    public Percentiles minus(Percentiles baseline, String label) {
        return new Percentiles(
                label,
                count,
                p50 - baseline.p50,
                p95 - baseline.p95,
                p99 - baseline.p99,
                max - baseline.max);
    }

    /** Returns the percentiles as a line of text. */
    public String line() {
        return String.format(
                Locale.ROOT,
                "%-32s n=%-7d p50=%8.3f p95=%8.3f p99=%8.3f max=%8.3f ms",
                name,
                count,
                p50,
                p95,
                p99,
                max);
    }

    /** Returns the percentiles as a row of CSV. */
    public String csv() {
        return String.format(
                Locale.ROOT, "%s,%d,%.3f,%.3f,%.3f,%.3f", name, count, p50, p95, p99, max);
    }
}
