package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link EventStreamPosition}. */
public class EventStreamPositionTest {

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    @DataProvider
    private static Object[][] lineEnds() {
        return new Object[][] {{"\n"}, {"\r\n"}, {"\r"}};
    }

    /** A stream cut off at any byte was taken for complete. */
    @Test(dataProvider = "lineEnds")
    public void onlyBlankLineEndsEvent(String lineEnd) {
        String first = "id: 1" + lineEnd + "data: a" + lineEnd + lineEnd;
        String stream = first + ": comment" + lineEnd + lineEnd;
        for (int length = 0; length <= stream.length(); length++) {
            EventStreamPosition position = new EventStreamPosition();
            for (int i = 0; i < length; i++) {
                position.advance(bytes(stream.substring(i, i + 1)));
            }
            // A LF after the CR that ended an event belongs to that event.
            boolean afterFirst =
                    length == first.length()
                            || lineEnd.equals("\r\n") && length == first.length() - 1;
            boolean afterSecond =
                    length == stream.length()
                            || lineEnd.equals("\r\n") && length == stream.length() - 1;
            assertEquals(
                    position.isBetweenEvents(),
                    length == 0 || afterFirst || afterSecond,
                    "after " + length + " bytes");
        }
    }

    @Test(dataProvider = "lineEnds")
    public void advanceReturnsEndOfLastCompleteEvent(String lineEnd) {
        String events = "data: a" + lineEnd + lineEnd + "data: b" + lineEnd + lineEnd;
        EventStreamPosition position = new EventStreamPosition();
        assertEquals(position.advance(bytes(events + "data")), events.length());
        assertEquals(position.events(), 2);
        assertEquals(position.partialEventBytes(), "data".length());
        assertEquals(position.advance(bytes(": c")), 0);
        assertFalse(position.isBetweenEvents());
    }

    @Test
    public void repeatedBlankLinesAreNoEvents() {
        EventStreamPosition position = new EventStreamPosition();
        assertEquals(position.advance(bytes("\n\n\n")), 3);
        assertEquals(position.events(), 0);
        assertTrue(position.isBetweenEvents());
    }
}
