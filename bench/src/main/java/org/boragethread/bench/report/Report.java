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

/** Collects the results of one run of the bench. */
public final class Report {

    private static final int CHART_WIDTH = 900;
    private static final int CHART_HEIGHT = 450;

    private final String mName;
    private final PrintStream mOut;
    private final List<Figures> mFigures = new ArrayList<>();
    private final List<String> mNotes = new ArrayList<>();
    private final List<Target> mTargets = new ArrayList<>();

    /** Makes an empty report that prints what it is given. */
    public Report(String name, PrintStream out) {
        mName = name;
        mOut = out;
    }

    /** Adds percentiles. */
    public Figures add(Figures figures) {
        mFigures.add(figures);
        mOut.println(figures.line());
        return figures;
    }

    /** Adds a line of text. */
    public void note(String text) {
        mNotes.add(text);
        mOut.println(text);
    }

    /** Adds a target; targets are printed last. */
    public void target(Target target) {
        mTargets.add(target);
    }

    /**
     * Writes the CSV file and the page, and prints the targets.
     *
     * @return whether all targets are kept
     * @throws IOException if a file cannot be written
     */
    public boolean finish(Path directory) throws IOException {
        Files.createDirectories(directory);
        Files.writeString(directory.resolve(mName + ".csv"), csv());
        Files.writeString(directory.resolve(mName + ".html"), page());
        mTargets.forEach(target -> mOut.println(target.line()));
        return mTargets.stream().allMatch(Target::isKept);
    }

    private String csv() {
        StringBuilder csv = new StringBuilder(Figures.CSV_HEADER).append('\n');
        mFigures.forEach(figures -> csv.append(figures.csv()).append('\n'));
        return csv.toString();
    }

    private String page() throws IOException {
        StringBuilder page = new StringBuilder("<!doctype html><meta charset=\"utf-8\">");
        page.append("<title>bench %s</title><h1>bench %s</h1>".formatted(mName, mName));
        page.append("<img alt=\"percentiles\" src=\"data:image/png;base64,");
        page.append(Base64.getEncoder().encodeToString(chart())).append("\"><pre>\n");
        mFigures.forEach(figures -> page.append(escape(figures.line())).append('\n'));
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
        for (Figures figures : mFigures) {
            List<Double> values = List.of(figures.p50(), figures.p95(), figures.p99());
            chart.addSeries(figures.name(), names, values);
        }
        return BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
