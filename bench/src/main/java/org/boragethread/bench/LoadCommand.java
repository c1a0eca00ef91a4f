package org.boragethread.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import org.boragethread.bench.load.LoadBench;
import org.boragethread.bench.load.LoadSettings;
import org.boragethread.bench.report.Report;
import org.kohsuke.args4j.Option;

/** {@code load}: compares the policies with the baselines under load and faults. */
final class LoadCommand implements BenchCommand {

    @Option(name = "--scenario", usage = "name of the only scenario to run")
    private String mScenario;

    @Option(name = "--seconds", usage = "measured time of each variant, in seconds")
    private int mSeconds = 10;

    @Option(name = "--seed", usage = "seed of the start times")
    private long mSeed = 1;

    @Option(name = "--out", usage = "directory for the CSV file and the page")
    private String mOut = "target/bench";

    @Override
    public boolean run() throws IOException, InterruptedException {
        Optional<String> only = Optional.ofNullable(mScenario);
        if (only.isPresent() && !LoadBench.names().contains(mScenario)) {
            System.err.println("--scenario: use one of " + LoadBench.names());
            return false;
        }
        Report report = new Report("load", System.out);
        LoadSettings settings = new LoadSettings(Duration.ofSeconds(mSeconds), mSeed);
        report.addNote(
                "settings %s, %d processors"
                        .formatted(settings, Runtime.getRuntime().availableProcessors()));
        new LoadBench(settings, report).run(only);
        return report.finish(Path.of(mOut));
    }
}
