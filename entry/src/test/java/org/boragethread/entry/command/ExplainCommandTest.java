package org.boragethread.entry.command;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.boragethread.process.command.ExitCode;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ExplainCommand}. */
public class ExplainCommandTest {

    private static final List<String> LOG =
            List.of(
                    "{\"time\":\"t2\",\"data\":{\"event\":\"refused\",\"request\":\"a\","
                            + "\"reason\":\"stage-failed\"}}",
                    "front-1 {\"time\":\"t1\",\"data\":{\"event\":\"pieces\",\"request\":\"b a\"}}",
                    "{\"time\":\"t0\",\"data\":{\"event\":\"sent\",\"request\":\"b\"}}",
                    "not a log line {");

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();

    @BeforeMethod
    public void clearOutput() {
        mOut.reset();
    }

    private int explain(String id) {
        return explain(id, LOG);
    }

    private int explain(String id, List<String> log) {
        return new ExplainCommand().withRequestId(id).print(log, new PrintStream(mOut, true));
    }

    private static String line(String prefix, String time, String event, String... fields) {
        StringBuilder text = new StringBuilder(prefix);
        text.append("{\"time\":\"").append(time).append("\",\"data\":{\"event\":\"");
        text.append(event).append('"');
        for (int i = 0; i < fields.length; i += 2) {
            text.append(",\"").append(fields[i]).append("\":\"").append(fields[i + 1]);
            text.append('"');
        }
        return text.append("}}").toString();
    }

    @Test
    public void eventsOfARequestArePrintedInChronologicalOrder() {
        assertEquals(explain("a"), ExitCode.OK);
        String text = mOut.toString(StandardCharsets.UTF_8);
        assertEquals(text.lines().toList(), List.of("t1 pieces", "t2 refused reason=stage-failed"));
    }

    @Test
    public void unknownRequestFails() {
        assertEquals(explain("z"), ExitCode.FAILED);
    }

    // Guards against a stop or a reload of the entry that a request's events do not show.
    @Test
    public void linesOfTheSameEntryDuringTheRequestAreMarked() {
        List<String> log =
                List.of(
                        line("17:00:01 one ", "t1", "members", "names", "x"),
                        line("17:00:02 one ", "t2", "sent", "request", "a"),
                        line("17:00:03 one ", "t3", "stop", "outcome", "begun"),
                        line("17:00:03 two ", "t3", "stop", "outcome", "begun"),
                        line("17:00:04 one ", "t4", "upstream", "outcome", "in"),
                        line("17:00:05 one ", "t5", "broken-off", "request", "a"),
                        line("17:00:06 one ", "t6", "stop", "outcome", "requests-ended"));
        assertEquals(explain("a", log), ExitCode.OK);
        assertEquals(
                mOut.toString(StandardCharsets.UTF_8).lines().toList(),
                List.of("t2 sent", "t3 (entry) stop outcome=begun", "t5 broken-off"));
    }

    // Guards against a stop that began before the request and is not shown with it.
    @Test
    public void stopThatHadBegunBeforeTheRequestIsShown() {
        List<String> log =
                List.of(
                        line("", "t1", "start", "name", "x"),
                        line("", "t2", "stop", "outcome", "begun"),
                        line("", "t3", "sent", "request", "a"),
                        line("", "t4", "answered", "request", "a"));
        assertEquals(explain("a", log), ExitCode.OK);
        assertEquals(
                mOut.toString(StandardCharsets.UTF_8).lines().toList(),
                List.of("t2 (entry) stop outcome=begun", "t3 sent", "t4 answered"));
    }

    // Guards against a killed entry whose requests seem to be still in progress.
    @Test
    public void requestWithoutAnEndShowsTheNextStartOfItsEntry() {
        List<String> log =
                List.of(
                        line("one ", "t1", "sent", "request", "a"),
                        line("two ", "t2", "start", "name", "two"),
                        line("one ", "t3", "start", "name", "one"));
        assertEquals(explain("a", log), ExitCode.OK);
        assertEquals(
                mOut.toString(StandardCharsets.UTF_8).lines().toList(),
                List.of("t1 sent", "t3 (entry) start name=one"));
    }

    // Guards against output without bound about a request during which members come and go.
    @Test
    public void linesAboutTheEntryAreBounded() {
        List<String> log = new ArrayList<>();
        log.add(line("", "t1", "sent", "request", "a"));
        for (int i = 0; i < 70; i++) {
            log.add(line("", "t2", "members", "names", "x" + i));
        }
        log.add(line("", "t3", "answered", "request", "a"));
        assertEquals(explain("a", log), ExitCode.OK);
        List<String> shown = mOut.toString(StandardCharsets.UTF_8).lines().toList();
        assertEquals(shown.size(), 53);
        assertEquals(shown.get(52), "20 more lines about the entry are not shown");
    }
}
