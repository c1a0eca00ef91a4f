package org.boragethread.bench.load;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.boragethread.bench.report.Report;

/** Runs scenarios, each with the policies and then with the baselines. */
public final class LoadBench {

    private static final List<Scenario> SCENARIOS =
            List.of(
                    new SlowUpstream(),
                    new Overload(),
                    new TeamBurst(),
                    new Drain(),
                    new ColdUpstreams(),
                    new RetryStorm());

    private final LoadSettings mSettings;
    private final Report mReport;

    /** Creates a measurement that adds its results to a report. */
    public LoadBench(LoadSettings settings, Report report) {
        mSettings = settings;
        mReport = report;
    }

    /** Returns the names of all scenarios. */
    public static List<String> names() {
        return SCENARIOS.stream().map(Scenario::name).toList();
    }

    /**
     * Measures all scenarios, or only the given one.
     *
     * @throws IOException if a deployment cannot be started
     */
    public void run(Optional<String> only) throws IOException {
        for (Scenario scenario : SCENARIOS) {
            if (only.isPresent() && !only.get().equals(scenario.name())) {
                continue;
            }
            for (Variant variant : Variant.values()) {
                scenario.measure(
                        variant, mSettings, new ScenarioResults(scenario.name(), variant, mReport));
            }
        }
    }
}
