package org.boragethread.entry.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A line of a saved log.
 *
 * @param source what a log collector put before the line, without times: the same for all lines of
 *     one process; empty if there is no prefix
 * @param time time in the format of the log
 * @param data fields of the event
 */
record LogLine(String source, String time, JsonNode data) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Parses a line; empty if it holds no event. */
    static Optional<LogLine> parse(String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode json = MAPPER.readTree(line.substring(start));
            String source = withoutTimes(line.substring(0, start));
            return Optional.of(new LogLine(source, json.path("time").asText(), json.path("data")));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    private static String withoutTimes(String prefix) {
        return Arrays.stream(prefix.strip().split("\\s+"))
                .filter(word -> !word.matches(".*\\d\\d:\\d\\d.*"))
                .collect(Collectors.joining(" "));
    }

    String event() {
        return data.path("event").asText();
    }

    boolean isAbout(String requestId) {
        String ids = data.path("request").asText();
        return Arrays.asList(ids.split(" ")).contains(requestId);
    }

    boolean hasOutcome(String outcome) {
        return data.path("outcome").asText().equals(outcome);
    }
}
