package org.boragethread.entry.command;

import java.io.IOException;
import org.kohsuke.args4j.Option;

/** States an intent and prints the plan that answers it. */
public final class IntentCommand extends OperatorCommand {

    @Option(
            name = "--file",
            required = true,
            metaVar = "FILE",
            usage = "intent in JSON, or - for standard input")
    private String mFile;

    @Override
    public String summary() {
        return "states an intent and prints its plan; nothing changes yet";
    }

    @Override
    int run(OperatorClient client) throws IOException {
        return print(client.post("/v1/intents", read(mFile)));
    }
}
