package org.boragethread.entry.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import org.boragethread.model.routing.RoutingConfig;
import org.boragethread.platform.store.ConfigDocument;
import org.boragethread.process.command.Command;
import org.boragethread.process.command.ExitCode;
import org.kohsuke.args4j.Option;

/** Checks a routing configuration before it is sent to the store. */
public final class CheckConfigCommand implements Command {

    /** Not {@link ExitCode#FAILED}, which says that there are findings. */
    private static final int INTERNAL_ERROR = 3;

    @Option(
            name = "--config",
            required = true,
            metaVar = "FILE",
            usage = "routing configuration to check")
    private Path mConfig;

    @Option(
            name = "--in-force",
            metaVar = "FILE",
            usage = "routing configuration in force, which it is compared with")
    private Path mInForce;

    @Option(name = "--json", usage = "print the report as JSON")
    private boolean mJson;

    private PrintStream mOut = System.out;
    private PrintStream mErr = System.err;

    @Override
    public String summary() {
        return "checks a routing configuration before it is sent";
    }

    @Override
    public int run() {
        try {
            return check();
        } catch (RuntimeException e) {
            // The message may hold a key.
            mErr.printf(
                    "internal error: %s at %s: report it to the developers%n",
                    e.getClass().getName(), Arrays.stream(e.getStackTrace()).limit(1).toList());
            return INTERNAL_ERROR;
        }
    }

    private int check() {
        Optional<byte[]> body = read(mConfig);
        if (body.isEmpty()) {
            return ExitCode.USAGE;
        }
        Optional<RoutingConfig> inForce = Optional.empty();
        if (mInForce != null) {
            inForce = read(mInForce).flatMap(this::decodeInForce);
            if (inForce.isEmpty()) {
                return ExitCode.USAGE;
            }
        }
        ConfigReport report = ConfigReport.create(ConfigDocument.read(body.get()), inForce);
        mOut.println(mJson ? report.toJson() : report.toText());
        return report.findings().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
    }

    private Optional<byte[]> read(Path path) {
        try {
            return Optional.of(Files.readAllBytes(path));
        } catch (IOException e) {
            mErr.println("cannot read " + path + ": give the path of a readable file");
            return Optional.empty();
        }
    }

    private Optional<RoutingConfig> decodeInForce(byte[] body) {
        Optional<RoutingConfig> config = ConfigDocument.read(body).config();
        if (config.isEmpty()) {
            mErr.printf(
                    "gateways reject %s: give the document that is in force, and check it by"
                            + " --config%n",
                    mInForce);
        }
        return config;
    }

    /** Sets the streams in place of those of the process. */
    CheckConfigCommand withStreams(PrintStream out, PrintStream err) {
        mOut = out;
        mErr = err;
        return this;
    }
}
