package org.boragethread.standins.platform;

import java.io.IOException;
import java.time.Clock;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Runs the platform's stand-in as a process; prints {@code listening host:port} when ready. */
public final class PlatformMain {

    private static final int EXIT_USAGE = 2;

    @Option(name = "--port", usage = "port to listen on, or 0 for a free one")
    private int mPort;

    @Option(name = "--retention-ms", usage = "time that a record is kept, in milliseconds")
    private long mRetentionMs = PlatformSettings.DEFAULTS.retentionMs();

    @Option(name = "--retention-records", usage = "number of records that a stream keeps")
    private int mRetentionRecords = PlatformSettings.DEFAULTS.retentionRecords();

    @Option(name = "--seed", usage = "seed of the random faults")
    private long mSeed = PlatformSettings.DEFAULTS.seed();

    private PlatformMain() {}

    /**
     * Starts the stand-in; it runs until the process is stopped.
     *
     * @throws IOException if the port cannot be bound
     */
    public static void main(String[] args) throws IOException {
        PlatformMain main = new PlatformMain();
        CmdLineParser parser = new CmdLineParser(main);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(EXIT_USAGE);
        }
        PlatformSettings settings =
                new PlatformSettings(
                        main.mPort, main.mRetentionMs, main.mRetentionRecords, main.mSeed);
        PlatformStandIn platform = PlatformStandIn.start(settings, Clock.systemUTC());
        System.out.println("listening " + platform.address());
    }
}
