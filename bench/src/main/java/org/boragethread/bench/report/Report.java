package org.boragethread.bench.report;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

/** Collects and prints the results of one run of the bench. */
public final class Report {

    private static final int CHART_WIDTH = 900;
    private static final int CHART_HEIGHT = 450;

    private final String mName;
    private final PrintStream mOut;
    private final List<Percentiles> mPercentiles = new ArrayList<>();
    private final List<String> mNotes = new ArrayList<>();
    private final List<Target> mTargets = new ArrayList<>();

    /** Creates an empty report that prints results as they are added. */
    public Report(String name, PrintStream out) {
        mName = name;
        mOut = out;
    }

    /** Adds and prints percentiles. */
    public Percentiles add(Percentiles percentiles) {
        mPercentiles.add(percentiles);
        mOut.println(percentiles.line());
        return percentiles;
    }

    /** Adds and prints a line of text. */
    public void addNote(String text) {
        mNotes.add(text);
        mOut.println(text);
    }

    /** Adds a target. Targets are printed after all other results. */
    public void addTarget(Target target) {
        mTargets.add(target);
    }

    /**
     * Writes the CSV file and the HTML page, and prints the targets.
     *
     * @return whether all targets are met
     * @throws IOException if a file cannot be written
     */
    public boolean finish(Path directory) throws IOException {
        Files.createDirectories(directory);
        Files.writeString(directory.resolve(mName + ".csv"), csv());
        Files.writeString(directory.resolve(mName + ".html"), page());
        mTargets.forEach(target -> mOut.println(target.line()));
        return mTargets.stream().allMatch(Target::isMet);
    }

    private String csv() {
        StringBuilder csv = new StringBuilder(Percentiles.CSV_HEADER).append('\n');
        mPercentiles.forEach(percentiles -> csv.append(percentiles.csv()).append('\n'));
        return csv.toString();
    }

    private String page() throws IOException {
        StringBuilder page = new StringBuilder("<!doctype html><meta charset=\"utf-8\">");
        page.append("<title>bench %s</title><h1>bench %s</h1>".formatted(mName, mName));
        page.append("<img alt=\"percentiles\" src=\"data:image/png;base64,");
        page.append(Base64.getEncoder().encodeToString(chart())).append("\"><pre>\n");
        mPercentiles.forEach(percentiles -> page.append(escape(percentiles.line())).append('\n'));
        mNotes.forEach(note -> page.append(escape(note)).append('\n'));
        mTargets.forEach(target -> page.append(escape(target.line())).append('\n'));
        return page.append("</pre>\n").toString();
    }

    private byte[] chart() throws IOException {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(CHART_WIDTH)
                        .height(CHART_HEIGHT)
                        .title(mName)
                        .yAxisTitle("milliseconds")
                        .build();
        List<String> names = List.of("p50", "p95", "p99");
        for (Percentiles percentiles : mPercentiles) {
            List<Double> values = List.of(percentiles.p50(), percentiles.p95(), percentiles.p99());
            chart.addSeries(percentiles.name(), names, values);
        }
        return BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
