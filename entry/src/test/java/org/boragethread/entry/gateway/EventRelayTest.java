package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Tests {@link EventRelay}. */
public class EventRelayTest {

    private final EventRelay mRelay = new EventRelay();

    private static String add(EventRelay relay, String data) {
        ByteBuf events = relay.add(Unpooled.copiedBuffer(data, StandardCharsets.UTF_8));
        return events.toString(StandardCharsets.UTF_8);
    }

    @Test
    public void returnsOnlyCompleteEvents() {
        EventRelay relay = new EventRelay();
        assertEquals(add(relay, "id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
        assertEquals(relay.lastId(), Optional.of("1"));
        assertEquals(add(relay, "ta: b\n"), "");
        assertEquals(add(relay, "\n"), "id: 2\ndata: b\n\n");
        assertEquals(relay.lastId(), Optional.of("2"));
    }

    @Test
    public void droppedPartialEventIsReplacedByResumedStream() {
        EventRelay relay = new EventRelay();
        add(relay, "id: 1\ndata: a\n\nid: 2\ndata: b");
        relay.dropPartial();
        assertEquals(add(relay, "id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    }

    @Test
    public void crlfLineEndsSeparateEvents() {
        assertEquals(add(mRelay, "id: 1\r\ndata: a\r\n\r\nid"), "id: 1\r\ndata: a\r\n\r\n");
    }

    @Test
    public void noDataIsLostOrDuplicatedForAnyChunking() {
        StringBuilder stream = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            stream.append("id: ").append(i).append("\ndata: piece ").append(i).append("\n\n");
        }
        for (long seed = 0; seed < 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            EventRelay relay = new EventRelay();
            StringBuilder forwarded = new StringBuilder();
            int start = 0;
            while (start < stream.length()) {
                int end = Math.min(stream.length(), start + 1 + random.nextInt(30));
                forwarded.append(add(relay, stream.substring(start, end)));
                start = end;
            }
            assertEquals(forwarded.toString(), stream.toString(), "seed " + seed);
            assertEquals(relay.lastId(), Optional.of("39"));
        }
    }
}
