package org.boragethread.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import org.boragethread.bench.path.PathBench;
import org.boragethread.bench.path.PathSettings;
import org.boragethread.bench.report.Report;
import org.kohsuke.args4j.Option;

/** {@code path}: measures the overhead of the path through entry and agent. */
final class PathCommand implements BenchCommand {

    @Option(name = "--rate", usage = "four-stage requests a second")
    private double mRate = 100;

    @Option(name = "--seconds", usage = "length of one turn, in seconds")
    private int mSeconds = 5;

    @Option(name = "--rounds", usage = "turns of direct calls and of calls through the entry")
    private int mRounds = 3;

    @Option(name = "--concurrency", usage = "calls in flight for the throughput")
    private int mConcurrency = 128;

    @Option(name = "--seed", usage = "seed of the start times")
    private long mSeed = 1;

    @Option(name = "--out", usage = "directory for the CSV file and the page")
    private String mOut = "target/bench";

    @Override
    public boolean run() throws IOException, InterruptedException {
        Report report = new Report("path", System.out);
        Duration slice = Duration.ofSeconds(mSeconds);
        PathSettings settings = new PathSettings(mRate, slice, mRounds, mConcurrency, mSeed);
        report.addNote(
                "settings %s, %d processors"
                        .formatted(settings, Runtime.getRuntime().availableProcessors()));
        new PathBench(settings, report).run();
        return report.finish(Path.of(mOut));
    }
}
