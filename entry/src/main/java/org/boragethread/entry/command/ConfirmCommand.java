package org.boragethread.entry.command;

import java.io.IOException;
import org.kohsuke.args4j.Option;

/** Confirms a plan, so that its changes take effect. */
public final class ConfirmCommand extends OperatorCommand {

    @Option(
            name = "--file",
            required = true,
            metaVar = "FILE",
            usage = "plan as printed by the intent command, or - for standard input")
    private String mFile;

    @Override
    public String summary() {
        return "confirms a plan; safe to repeat";
    }

    @Override
    int run(OperatorClient client) throws IOException {
        return print(client.post("/v1/plans/confirm", read(mFile)));
    }
}
