package org.boragethread.bench;

import java.io.IOException;

/** A subcommand of the bench program. */
interface BenchCommand {

    /**
     * Runs the measurement and prints its results.
     *
     * @return whether all targets are met
     * @throws IOException if a process or a file fails
     * @throws InterruptedException if the thread is interrupted
     */
    boolean run() throws IOException, InterruptedException;
}
