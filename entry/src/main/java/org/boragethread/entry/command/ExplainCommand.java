package org.boragethread.entry.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import org.boragethread.process.command.Command;
import org.boragethread.process.command.ExitCode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Prints the events of one request from a saved log, in chronological order, and among them what
 * the entries that had it say about themselves.
 */
public final class ExplainCommand implements Command {

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
        List<LogLine> all = new ArrayList<>();
        lines.forEach(line -> LogLine.parse(line).ifPresent(all::add));
        all.sort(Comparator.comparing(LogLine::time));
        Set<LogLine> events = Collections.newSetFromMap(new IdentityHashMap<>());
        all.stream().filter(line -> line.isAbout(mId)).forEach(events::add);
        if (events.isEmpty()) {
            out.println("no event of request " + mId + " found; another entry may have logged it");
            return ExitCode.FAILED;
        }
        ExplainContext context = new ExplainContext(all, events);
        for (LogLine line : all) {
            if (events.contains(line)) {
                out.println(describe(line, ""));
            } else if (context.contains(line)) {
                out.println(describe(line, " (entry)"));
            }
        }
        if (context.omitted() > 0) {
            out.println(context.omitted() + " more lines about the entry are not shown");
        }
        return ExitCode.OK;
    }

    private static String describe(LogLine line, String mark) {
        JsonNode data = line.data();
        StringBuilder text = new StringBuilder(line.time());
        text.append(mark).append(' ').append(line.event());
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
