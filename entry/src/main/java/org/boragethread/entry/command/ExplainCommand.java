package org.boragethread.entry.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.boragethread.process.command.Command;
import org.boragethread.process.command.ExitCode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints the events of one request from a saved log, in chronological order. */
public final class ExplainCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Option(
            name = "--log",
            required = true,
            metaVar = "FILE",
            usage = "saved log of one or more entries")
    private Path mLog;

    @Argument(required = true, metaVar = "ID", usage = "identifier of the request")
    private String mId;

    @Override
    public String summary() {
        return "prints the events of a request from a saved log";
    }

    @Override
    public int run() {
        try {
            return print(Files.readAllLines(mLog), System.out);
        } catch (IOException e) {
            System.err.println("cannot read " + mLog + ": give the path of a readable log file");
            return ExitCode.USAGE;
        }
    }

    int print(List<String> lines, PrintStream out) {
        List<JsonNode> events = new ArrayList<>();
        lines.forEach(line -> parse(line).filter(this::isAboutRequest).ifPresent(events::add));
        if (events.isEmpty()) {
            out.println("no event of request " + mId + " found; another entry may have logged it");
            return ExitCode.FAILED;
        }
        events.sort(Comparator.comparing(event -> event.path("time").asText()));
        events.forEach(event -> out.println(describe(event)));
        return ExitCode.OK;
    }

    /** Parses a line, which may start with a prefix added by a log collector. */
    private static Optional<JsonNode> parse(String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(MAPPER.readTree(line.substring(start)));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private boolean isAboutRequest(JsonNode event) {
        String ids = event.path("data").path("request").asText();
        return Arrays.asList(ids.split(" ")).contains(mId);
    }

    private static String describe(JsonNode event) {
        JsonNode data = event.path("data");
        StringBuilder text = new StringBuilder(event.path("time").asText());
        text.append(' ').append(data.path("event").asText());
        data.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!name.equals("event") && !name.equals("request")) {
                                text.append(' ').append(name).append('=');
                                text.append(data.path(name).asText());
                            }
                        });
        return text.toString();
    }

    /** Sets the request identifier in place of the command line. */
    ExplainCommand withRequestId(String id) {
        mId = id;
        return this;
    }
}
