package org.boragethread.standins.http;

import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/** Command-line parsing and waiting that the main methods of the stand-ins share. */
public final class StandInProcess {

    private static final int EXIT_USAGE = 2;
    private static final Logger GRIZZLY_LOGGER = Logger.getLogger("org.glassfish.grizzly");

    private StandInProcess() {}

    /**
     * Parses the command line into an options bean, or prints the usage and exits with status 2.
     */
    public static void parse(Object options, String[] args) {
        GRIZZLY_LOGGER.setLevel(Level.WARNING);
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(EXIT_USAGE);
        }
    }

    /**
     * Blocks the main thread so that the process runs until a signal stops it.
     *
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void awaitSignal() throws InterruptedException {
        new CountDownLatch(1).await();
    }
}
