package org.boragethread.entry.command;

import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Lines in which the entries that had a request say that they started, stopped, read their settings
 * again, or learned of other members or of their lease: those between its first and last line, a
 * stop that had begun before, and, if the request has no end, how the process ended.
 */
final class ExplainContext {

    private static final int MAX_LINES = 50;

    private static final String START = "start";
    private static final String STOP = "stop";

    private static final Set<String> SHOWN = Set.of(START, STOP, "reload", "lease", "members");

    private static final Set<String> ENDS =
            Set.of("answered", "refused", "broken-off", "cancelled", "rejected", "not-received");

    private final Set<LogLine> mLines = Collections.newSetFromMap(new IdentityHashMap<>());
    private int mOmitted;

    /**
     * Selects lines.
     *
     * @param all all lines of the log in chronological order
     * @param events those of the request
     */
    ExplainContext(List<LogLine> all, Collection<LogLine> events) {
        events.stream()
                .collect(Collectors.groupingBy(LogLine::source))
                .forEach((source, own) -> addFrom(ofSource(all, source), own));
    }

    private static List<LogLine> ofSource(List<LogLine> all, String source) {
        return all.stream().filter(line -> line.source().equals(source)).toList();
    }

    private void addFrom(List<LogLine> all, List<LogLine> events) {
        Set<LogLine> own = Collections.newSetFromMap(new IdentityHashMap<>());
        own.addAll(events);
        int first = 0;
        while (!own.contains(all.get(first))) {
            first++;
        }
        int last = all.size() - 1;
        while (!own.contains(all.get(last))) {
            last--;
        }
        stopInProgress(all.subList(0, first)).ifPresent(this::add);
        all.subList(first, last + 1).stream()
                .filter(line -> SHOWN.contains(line.event()) && !own.contains(line))
                .forEach(this::add);
        if (events.stream().noneMatch(line -> ENDS.contains(line.event()))) {
            all.subList(last + 1, all.size()).stream()
                    .filter(ExplainContext::isStartOrStop)
                    .findFirst()
                    .ifPresent(this::add);
        }
    }

    private static Optional<LogLine> stopInProgress(List<LogLine> before) {
        return before.stream()
                .filter(ExplainContext::isStartOrStop)
                .reduce((earlier, later) -> later)
                .filter(line -> line.event().equals(STOP) && line.hasOutcome("begun"));
    }

    private static boolean isStartOrStop(LogLine line) {
        return line.event().equals(START) || line.event().equals(STOP);
    }

    private void add(LogLine line) {
        if (mLines.size() < MAX_LINES) {
            mLines.add(line);
        } else {
            mOmitted++;
        }
    }

    boolean contains(LogLine line) {
        return mLines.contains(line);
    }

    /** Returns the number of lines beyond the bound. */
    int omitted() {
        return mOmitted;
    }
}
