package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    /** Reads a line without its end; null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("the connection ended inside a line");
            }
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /**
     * Reads a message; null if the connection ended before it.
     *
     * @param bodiless whether it is the response to a HEAD request
     */
    static Message read(InputStream in, boolean bodiless) throws IOException {
        String start = readLine(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        if (bodiless) {
            return new Message(start, headers, new byte[0]);
        }
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("the connection ended inside a body");
            }
            return new Message(start, headers, body);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("the connection ended inside a chunked body");
                }
                int length = Integer.parseInt(size.trim(), 16);
                byte[] chunk = in.readNBytes(length);
                if (chunk.length < length) {
                    throw new EOFException("the connection ended inside a chunk");
                }
                body.write(chunk);
                readLine(in);
                if (length == 0) {
                    break;
                }
            }
        }
        return new Message(start, headers, body.toByteArray());
    }
}
