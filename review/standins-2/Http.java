import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads HTTP/1.1 messages from a socket, strictly: what is no message is an error. */
final class Http {

    private static final int MAX_HEAD_BYTES = 64 << 10;

    private Http() {}

    /** The head of a request or a response. */
    static final class Head {
        final String startLine;
        private final List<String[]> mFields = new ArrayList<>();

        Head(String startLine) {
            this.startLine = startLine;
        }

        Optional<String> get(String name) {
            return mFields.stream()
                    .filter(field -> field[0].equalsIgnoreCase(name))
                    .map(field -> field[1])
                    .findFirst();
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        boolean closes() {
            return get("Connection").filter(value -> value.equalsIgnoreCase("close")).isPresent();
        }
    }

    /** The peer sent bytes that are no HTTP message. */
    static final class NotHttpException extends IOException {
        private static final long serialVersionUID = 1L;

        NotHttpException(String detail) {
            super(detail);
        }
    }

    /** Reads a head; empty if the peer closed the connection before its first byte. */
    static Optional<Head> readHead(InputStream in, boolean response) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                if (bytes.size() == 0) {
                    return Optional.empty();
                }
                throw new EOFException("the connection ended inside a head: " + shorten(bytes));
            }
            bytes.write(next);
            boolean expected = next == "\r\n\r\n".charAt(matched);
            matched = expected ? matched + 1 : next == '\r' ? 1 : 0;
            if (response && bytes.size() == 5 && !text(bytes).equals("HTTP/")) {
                throw new NotHttpException("no status line, but: " + shorten(bytes));
            }
            if (bytes.size() > MAX_HEAD_BYTES) {
                throw new NotHttpException("the head is too long: " + shorten(bytes));
            }
        }
        String[] lines = text(bytes).split("\r\n");
        Head head = new Head(lines[0]);
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon < 1) {
                throw new NotHttpException("no header field: " + lines[i]);
            }
            head.mFields.add(
                    new String[] {lines[i].substring(0, colon), lines[i].substring(colon + 1).strip()});
        }
        return Optional.of(head);
    }

    /** Reads the body that follows the head of a request, or of a response with a length. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (head.get("Transfer-Encoding").filter("chunked"::equalsIgnoreCase).isPresent()) {
            return readChunks(in);
        }
        int length = head.get("Content-Length").map(Integer::parseInt).orElse(0);
        return readFully(in, length);
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int length = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
            body.write(readFully(in, length));
            String end = readLine(in);
            if (!end.isEmpty()) {
                throw new NotHttpException("no end of a chunk: " + end);
            }
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("the connection ended inside a body");
            }
            if (next == '\n') {
                return text(line).stripTrailing();
            }
            line.write(next);
        }
    }

    private static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException(
                    "the connection ended after %d of %d bytes".formatted(bytes.length, length));
        }
        return bytes;
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    private static String shorten(ByteArrayOutputStream bytes) {
        String text = text(bytes).replace("\r\n", " | ");
        return text.length() <= 120 ? text : text.substring(0, 120);
    }
}
