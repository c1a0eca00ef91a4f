package org.boragethread.standins.platform;

import java.io.IOException;
import java.time.Clock;
import org.boragethread.standins.http.StandInProcess;
import org.kohsuke.args4j.Option;

/** Runs the platform's stand-in as a process. Prints {@code listening host:port} when ready. */
public final class PlatformMain {

    @Option(name = "--port", usage = "port to listen on, or 0 for a free one")
    private int mPort;

    @Option(name = "--retention-ms", usage = "retention time of records, in milliseconds")
    private long mRetentionMs = PlatformSettings.DEFAULTS.retentionMs();

    @Option(name = "--retention-records", usage = "maximum number of records that a stream retains")
    private int mRetentionRecords = PlatformSettings.DEFAULTS.retentionRecords();

    @Option(name = "--seed", usage = "seed of the random faults")
    private long mSeed = PlatformSettings.DEFAULTS.seed();

    private PlatformMain() {}

    /**
     * Starts the stand-in; it runs until the process is stopped.
     *
     * @throws IOException if the port cannot be bound
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        PlatformMain main = new PlatformMain();
        StandInProcess.parse(main, args);
        PlatformSettings settings =
                new PlatformSettings(
                        main.mPort, main.mRetentionMs, main.mRetentionRecords, main.mSeed);
        PlatformStandIn platform = PlatformStandIn.start(settings, Clock.systemUTC());
        System.out.println("listening " + platform.address());
        StandInProcess.awaitSignal();
    }
}
