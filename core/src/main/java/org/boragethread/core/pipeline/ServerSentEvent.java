package org.boragethread.core.pipeline;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** A server-sent event, including the blank line that ends it. */
final class ServerSentEvent {

    private static final String END = "end";

    private final byte[] mBytes;
    private final String mText;

    ServerSentEvent(byte[] bytes) {
        mBytes = bytes;
        mText = new String(bytes, StandardCharsets.UTF_8);
    }

    /** Returns the bytes of the event as received, without carriage returns. */
    ByteBuffer bytes() {
        return ByteBuffer.wrap(mBytes);
    }

    /** Returns whether this is the end marker of a stream. */
    boolean isEndMarker() {
        return field("event").filter(END::equals).isPresent();
    }

    /** Returns whether the event contains a token. */
    boolean isToken() {
        return field("event").isEmpty() && field("data").isPresent();
    }

    /** Returns the data of the event, or an empty string if there is none. */
    String data() {
        return field("data").orElse("");
    }

    private Optional<String> field(String name) {
        StringBuilder value = new StringBuilder();
        boolean found = false;
        for (String line : mText.split("\n")) {
            if (!line.startsWith(name + ":")) {
                continue;
            }
            String text = line.substring(name.length() + 1);
            if (found) {
                value.append('\n');
            }
            value.append(text.startsWith(" ") ? text.substring(1) : text);
            found = true;
        }
        return found ? Optional.of(value.toString()) : Optional.empty();
    }
}
