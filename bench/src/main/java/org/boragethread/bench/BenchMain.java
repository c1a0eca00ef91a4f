package org.boragethread.bench;

import java.io.IOException;
import java.util.Arrays;
import org.boragethread.standins.http.StandInProcess;

/** The program {@code bench}. Exits with 0 if all targets are kept, 1 if any is short. */
public final class BenchMain {

    private static final int EXIT_SHORT = 1;
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    /**
     * Runs the measurement that the first argument names.
     *
     * @throws IOException if a process or a file fails
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        if (args.length == 0 || !args[0].equals("path")) {
            System.err.println("usage: bench path [options]");
            System.exit(EXIT_USAGE);
        }
        BenchCommand command = new PathCommand();
        StandInProcess.parse(command, Arrays.copyOfRange(args, 1, args.length));
        System.exit(command.run() ? 0 : EXIT_SHORT);
    }
}
