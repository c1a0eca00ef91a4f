import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Stand-in of a requester: one channel to a gateway. */
final class Caller implements AutoCloseable {

    private final Socket mSocket = new Socket();
    private final InputStream mIn;

    /** An answer, whole. */
    record Answer(Http.Head head, byte[] body) {
        int status() {
            return head.status();
        }

        String id() {
            return head.get("X-Boragethread-Request-Id").orElse("");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    Caller(InetSocketAddress gateway, int timeoutMillis) throws IOException {
        this(gateway, timeoutMillis, 0);
    }

    /** Opens a channel whose receive buffer has the given size; 0 for the usual one. */
    Caller(InetSocketAddress gateway, int timeoutMillis, int receiveBytes) throws IOException {
        if (receiveBytes > 0) {
            mSocket.setReceiveBufferSize(receiveBytes);
        }
        mSocket.setTcpNoDelay(true);
        mSocket.connect(gateway, 2000);
        mSocket.setSoTimeout(timeoutMillis);
        mIn = new BufferedInputStream(mSocket.getInputStream(), 64 << 10);
    }

    void send(String text) throws IOException {
        send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void send(byte[] bytes) throws IOException {
        mSocket.getOutputStream().write(bytes);
        mSocket.getOutputStream().flush();
    }

    /** Reads the answer to a request; empty if the gateway closed the channel before it. */
    Optional<Answer> receive(String method) throws IOException {
        Optional<Http.Head> head = Http.readHead(mIn, true);
        if (head.isEmpty()) {
            return Optional.empty();
        }
        byte[] body = method.equals("HEAD") ? new byte[0] : Http.readBody(mIn, head.get());
        return Optional.of(new Answer(head.get(), body));
    }

    InputStream in() {
        return mIn;
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
