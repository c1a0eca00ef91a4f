import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of an engine: announces itself in the store and answers requests (PROTOCOL.md). */
final class Engine implements AutoCloseable {

    private static final int HEARTBEAT_MILLIS = 1200;

    private final ServerSocket mServer;
    private final String mId;
    private final String mService;
    private final Platform mPlatform;
    private final Handler mHandler;
    private final long mBorn = System.currentTimeMillis();
    private final AtomicInteger mSeals = new AtomicInteger();
    private volatile boolean mClosed;

    /** Answers one request; the body has been read. */
    interface Handler {
        void handle(Call call) throws IOException, InterruptedException;
    }

    /** One request at the engine. */
    final class Call {
        final Http.Head head;
        final byte[] body;
        final OutputStream out;

        Call(Http.Head head, byte[] body, OutputStream out) {
            this.head = head;
            this.body = body;
            this.out = out;
        }

        String id() {
            return head.get("X-Boragethread-Request-Id").orElse("");
        }

        /** Returns the head of an answer that ran, with the seal and the request's id. */
        String sealedHead(int status, String fields) {
            return "HTTP/1.1 %d X\r\nX-Boragethread-Request-Id: %s\r\nX-Boragethread-Response-Seal: %s.%d\r\n%s\r\n"
                    .formatted(status, id(), mId, mSeals.incrementAndGet(), fields);
        }

        void respond(int status, byte[] answer) throws IOException {
            String fields = "Content-Length: %d\r\n".formatted(answer.length);
            out.write(sealedHead(status, fields).getBytes(StandardCharsets.ISO_8859_1));
            if (!head.method().equals("HEAD")) {
                out.write(answer);
            }
            out.flush();
        }

        /** Answers that the request was not executed, because the engine is full. */
        void shed() throws IOException {
            out.write(
                    ("HTTP/1.1 503 Service Unavailable\r\nX-Boragethread-Request-Id: %s\r\n"
                                    + "X-Boragethread-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                            .formatted(id())
                            .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    Engine(Platform platform, String id, String service, Handler handler) throws IOException {
        mPlatform = platform;
        mId = id;
        mService = service;
        mHandler = handler;
        mServer = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        announce(1);
        Case.daemon("engine", this::acceptAll);
        Case.daemon("heartbeat", this::renew);
    }

    private void announce(int seq) {
        mPlatform.put(
                "keyed.servers",
                mId,
                """
                {"service":"%s","address":"127.0.0.1:%d","zone":"montevideo","version":"v1",\
                "slots":6,"state":"ready","cold_left_ms":0,"seq":%d,"born":%d}"""
                        .formatted(mService, mServer.getLocalPort(), seq, mBorn));
    }

    private void renew() {
        for (int seq = 2; !mClosed; seq++) {
            Case.sleep(HEARTBEAT_MILLIS);
            announce(seq);
        }
    }

    private void acceptAll() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                socket.setTcpNoDelay(true);
                Case.daemon("engine-connection", () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 64 << 10);
            OutputStream out = socket.getOutputStream();
            while (true) {
                Optional<Http.Head> head = Http.readHead(in, false);
                if (head.isEmpty()) {
                    return;
                }
                byte[] body = Http.readBody(in, head.get());
                if (head.get()
                        .get("X-Boragethread-Expect-Instance")
                        .filter(id -> !id.equals(mId))
                        .isPresent()) {
                    out.write(
                            ("HTTP/1.1 421 Misdirected Request\r\nX-Boragethread-Instance-Id: "
                                            + mId
                                            + "\r\nContent-Length: 0\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                mHandler.handle(new Call(head.get(), body, out));
            }
        } catch (IOException e) {
            // The caller closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        mClosed = true;
        mServer.close();
    }
}
