package org.boragethread.entry.command;

import java.io.IOException;
import org.kohsuke.args4j.Option;

/** Submits an intent and prints the plan made for it. */
public final class IntentCommand extends OperatorCommand {

    @Option(
            name = "--file",
            required = true,
            metaVar = "FILE",
            usage = "intent in JSON, or - for standard input")
    private String mFile;

    @Override
    public String summary() {
        return "submits an intent and prints its plan without applying it";
    }

    @Override
    int run(OperatorClient client) throws IOException {
        return print(client.post("/v1/intents", read(mFile)));
    }
}
