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

/** Prints what a saved log tells of one request, in order of time. */
public final class ExplainCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Option(
            name = "--log",
            required = true,
            metaVar = "FILE",
            usage = "saved log of one or more entries")
    private Path mLog;

    @Argument(required = true, metaVar = "ID", usage = "identity of the request")
    private String mId;

    @Override
    public String summary() {
        return "prints a request's story from a saved log";
    }

    @Override
    public int run() {
        try {
            return print(Files.readAllLines(mLog), System.out);
        } catch (IOException e) {
            System.err.println("cannot read " + mLog + ": name a log file that can be read");
            return ExitCode.USAGE;
        }
    }

    int print(List<String> lines, PrintStream out) {
        List<JsonNode> events = new ArrayList<>();
        lines.forEach(line -> parse(line).filter(this::isAboutRequest).ifPresent(events::add));
        if (events.isEmpty()) {
            out.println("no line names request " + mId + "; its entry may have been another one");
            return ExitCode.FAILED;
        }
        events.sort(Comparator.comparing(event -> event.path("time").asText()));
        events.forEach(event -> out.println(describe(event)));
        return ExitCode.OK;
    }

    /** A line may begin with what a collector has put before it. */
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

    /** Sets what the command line would. */
    ExplainCommand about(String id) {
        mId = id;
        return this;
    }
}
