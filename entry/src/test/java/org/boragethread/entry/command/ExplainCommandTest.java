package org.boragethread.entry.command;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.boragethread.process.command.ExitCode;
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

    private int explain(String id) {
        return new ExplainCommand().withRequestId(id).print(LOG, new PrintStream(mOut, true));
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
}
