package org.boragethread.bench;

import java.io.IOException;

/** A measurement that the command line names. */
interface BenchCommand {

    /**
     * Measures and prints.
     *
     * @return whether all targets are kept
     * @throws IOException if a process or a file fails
     * @throws InterruptedException if the thread is interrupted
     */
    boolean run() throws IOException, InterruptedException;
}
