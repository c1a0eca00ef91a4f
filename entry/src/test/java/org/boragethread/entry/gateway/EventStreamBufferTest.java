package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Tests {@link EventStreamBuffer}. */
public class EventStreamBufferTest {

    private static String append(EventStreamBuffer buffer, String data) {
        ByteBuf events = buffer.append(Unpooled.copiedBuffer(data, StandardCharsets.UTF_8));
        return events.toString(StandardCharsets.UTF_8);
    }

    @Test
    public void returnsOnlyCompleteEvents() {
        EventStreamBuffer buffer = new EventStreamBuffer();
        assertEquals(append(buffer, "id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
        assertEquals(buffer.lastId(), Optional.of("1"));
        assertEquals(append(buffer, "ta: b\n"), "");
        assertEquals(append(buffer, "\n"), "id: 2\ndata: b\n\n");
        assertEquals(buffer.lastId(), Optional.of("2"));
    }

    @Test
    public void droppedPartialEventIsReplacedByResumedStream() {
        EventStreamBuffer buffer = new EventStreamBuffer();
        append(buffer, "id: 1\ndata: a\n\nid: 2\ndata: b");
        buffer.dropPartial();
        assertEquals(append(buffer, "id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    }

    @Test
    public void crlfLineEndsSeparateEvents() {
        EventStreamBuffer buffer = new EventStreamBuffer();
        assertEquals(append(buffer, "id: 1\r\ndata: a\r\n\r\nid"), "id: 1\r\ndata: a\r\n\r\n");
    }

    @Test
    public void noDataIsLostOrDuplicatedForAnyChunking() {
        StringBuilder stream = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            stream.append("id: ").append(i).append("\ndata: piece ").append(i).append("\n\n");
        }
        for (long seed = 0; seed < 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            EventStreamBuffer buffer = new EventStreamBuffer();
            StringBuilder forwarded = new StringBuilder();
            int start = 0;
            while (start < stream.length()) {
                int end = Math.min(stream.length(), start + 1 + random.nextInt(30));
                forwarded.append(append(buffer, stream.substring(start, end)));
                start = end;
            }
            assertEquals(forwarded.toString(), stream.toString(), "seed " + seed);
            assertEquals(buffer.lastId(), Optional.of("39"));
        }
    }

    /** A stream was resumed inside an event of which a part had been forwarded. */
    @Test
    public void streamWithSplitEventIsNotResumable() {
        EventStreamBuffer buffer = new EventStreamBuffer();
        String start = "id: 1\ndata: " + "x".repeat(1 << 20);
        assertEquals(append(buffer, start), start);
        assertFalse(buffer.isResumable());
        assertEquals(append(buffer, "\n\nid: 2\n"), "\n\n");
        assertFalse(buffer.isResumable(), "the ID of the split event is not known");
    }

    @Test
    public void carriageReturnsSeparateEvents() {
        EventStreamBuffer buffer = new EventStreamBuffer();
        assertEquals(append(buffer, "id: 1\rdata: a\r\rid"), "id: 1\rdata: a\r\r");
        assertEquals(buffer.lastId(), Optional.of("1"));
        assertTrue(buffer.isResumable());
    }
}
