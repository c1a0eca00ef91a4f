package org.boragethread.entry.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.boragethread.process.command.Command;
import org.boragethread.process.command.ExitCode;
import org.kohsuke.args4j.Option;

/** A sub-command that calls the operators' interface of an entry. */
abstract class OperatorCommand implements Command {

    private static final String TOKEN_VARIABLE = "BORAGETHREAD_OPERATOR_TOKEN";

    @Option(
            name = "--entry",
            required = true,
            metaVar = "IP:PORT",
            usage = "operators' address of an entry")
    private String mEntry;

    @Option(
            name = "--token",
            metaVar = "TOKEN",
            usage = "operator token; default: the variable " + TOKEN_VARIABLE)
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
                    "entry %s: %s: check the address and that the entry runs%n", mEntry, e);
            return ExitCode.FAILED;
        } catch (IllegalArgumentException e) {
            System.err.printf("--entry %s: write IP:PORT%n", mEntry);
            return ExitCode.USAGE;
        }
    }

    abstract int run(OperatorClient client) throws IOException;

    /** Returns a file's content; "-" is standard input. */
    static byte[] read(String file) throws IOException {
        return "-".equals(file) ? System.in.readAllBytes() : Files.readAllBytes(Path.of(file));
    }

    /** Prints a reply and returns the exit code for it. */
    static int print(OperatorClient.Reply reply) {
        (reply.isGood() ? System.out : System.err).println(reply.text());
        return reply.isGood() ? ExitCode.OK : ExitCode.FAILED;
    }
}
