package org.boragethread.process.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests the lines that a gateway's configuration of the log writes about exceptions. */
public class ExceptionLogTest {

    private static final int MAX_LINE_CHARS = 6000;

    /** Burst of lines of libraries, with what the limit permits during the run. */
    private static final int MAX_LIBRARY_LINES = 200;

    private final List<JsonNode> mLibraryLines = new ArrayList<>();
    private final List<JsonNode> mOwnLines = new ArrayList<>();
    private int mLongestLine;

    @BeforeClass
    public void run() throws Exception {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Dlog4j2.configurationFile=log4j2-gateway.xml",
                                "-cp",
                                System.getProperty("java.class.path"),
                                ExceptionLines.class.getName())
                        .redirectErrorStream(true)
                        .start();
        byte[] output = process.getInputStream().readAllBytes();
        assertEquals(process.waitFor(), 0);
        for (String line : new String(output, StandardCharsets.UTF_8).lines().toList()) {
            mLongestLine = Math.max(mLongestLine, line.length());
            JsonNode event = new ObjectMapper().readTree(line);
            boolean library = event.path("logger").asText().startsWith("io.netty.");
            (library ? mLibraryLines : mOwnLines).add(event);
        }
    }

    // Guards against warnings of which nobody can tell what was thrown, and where.
    @Test
    public void lineHasTypeAndStackOfTheException() {
        JsonNode line = mLibraryLines.get(0);
        assertEquals(line.path("exception").asText(), "no loop");
        assertEquals(line.path("exceptionType").asText(), "java.lang.IllegalStateException");
        assertTrue(line.path("stack").asText().contains("ExceptionLines.createException"));
    }

    // Guards against a log that deep stacks fill.
    @Test
    public void deepStackIsCutOff() {
        assertTrue(mLibraryLines.get(0).path("stack").asText().endsWith("..."));
        assertTrue(mLongestLine <= MAX_LINE_CHARS, "characters: " + mLongestLine);
    }

    // Guards against lines of a library that push out the lines about requests.
    @Test
    public void linesOfLibrariesAreLimited() {
        assertFalse(mLibraryLines.isEmpty());
        assertTrue(mLibraryLines.size() <= MAX_LIBRARY_LINES, "lines: " + mLibraryLines.size());
        assertEquals(mOwnLines.size(), 1);
        assertEquals(mOwnLines.get(0).path("data").path("request").asText(), "id-1");
        assertFalse(mOwnLines.get(0).has("stack"));
    }
}
