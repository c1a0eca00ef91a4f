package org.boragethread.bench.load;

import java.io.IOException;

/** A load test scenario. */
interface Scenario {

    /** Returns the name for the command line and the report. */
    String name();

    /**
     * Runs the scenario with one variant.
     *
     * @param results receives the measured results
     * @throws IOException if the deployment cannot be started
     */
    void measure(Variant variant, LoadSettings settings, ScenarioResults results)
            throws IOException;
}
