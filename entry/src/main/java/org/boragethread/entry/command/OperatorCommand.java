package org.boragethread.entry.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.boragethread.process.command.Command;
import org.boragethread.process.command.ExitCode;
import org.kohsuke.args4j.Option;

/** Base class of the subcommands that call the operator API of an entry. */
abstract class OperatorCommand implements Command {

    private static final String TOKEN_VARIABLE = "BORAGETHREAD_OPERATOR_TOKEN";

    @Option(
            name = "--entry",
            required = true,
            metaVar = "IP:PORT",
            usage = "address of an entry for operators")
    private String mEntry;

    @Option(
            name = "--token",
            metaVar = "TOKEN",
            usage = "operator token; default: environment variable " + TOKEN_VARIABLE)
    private String mToken;

    @Override
    public final int run() {
        String token = mToken == null ? System.getenv(TOKEN_VARIABLE) : mToken;
        if (token == null) {
            System.err.println("no operator token: give --token or set " + TOKEN_VARIABLE);
            return ExitCode.USAGE;
        }
        try {
            return run(new OperatorClient(mEntry, token));
        } catch (IOException e) {
            System.err.printf(
                    "entry %s: %s: check the address and whether the entry is running%n",
                    mEntry, e);
            return ExitCode.FAILED;
        } catch (IllegalArgumentException e) {
            System.err.printf("invalid address --entry %s: use IP:PORT%n", mEntry);
            return ExitCode.USAGE;
        }
    }

    abstract int run(OperatorClient client) throws IOException;

    /** Returns the content of a file; "-" stands for standard input. */
    static byte[] read(String file) throws IOException {
        return "-".equals(file) ? System.in.readAllBytes() : Files.readAllBytes(Path.of(file));
    }

    /** Prints a response and returns the exit code for it. */
    static int print(OperatorClient.Response response) {
        (response.isSuccess() ? System.out : System.err).println(response.text());
        return response.isSuccess() ? ExitCode.OK : ExitCode.FAILED;
    }
}
