package org.boragethread.bench.load;

import java.io.IOException;

/** A situation under load. */
interface Scenario {

    /** Returns the name on the command line. */
    String name();

    /**
     * Measures one variant.
     *
     * @param results takes what was measured
     * @throws IOException if the deployment cannot be started
     */
    void measure(Variant variant, LoadSettings settings, Results results) throws IOException;
}
