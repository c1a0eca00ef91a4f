package org.boragethread.bench;

import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import org.boragethread.standins.http.StandInProcess;

/** The program {@code bench}. Exits with 0 if all targets are met and with 1 if any is missed. */
public final class BenchMain {

    private static final int EXIT_TARGET_MISSED = 1;
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    /**
     * Runs the subcommand named by the first argument.
     *
     * @throws IOException if a process or a file fails
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        Map<String, BenchCommand> commands =
                Map.of("path", new PathCommand(), "load", new LoadCommand());
        if (args.length == 0 || !commands.containsKey(args[0])) {
            System.err.println("usage: bench path|load [options]");
            System.exit(EXIT_USAGE);
        }
        BenchCommand command = commands.get(args[0]);
        StandInProcess.parse(command, Arrays.copyOfRange(args, 1, args.length));
        System.exit(command.run() ? 0 : EXIT_TARGET_MISSED);
    }
}
