package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stand-in for an engine of one service. It announces itself in the store and runs requests. */
final class Engine implements AutoCloseable {
    /** Events of a stream. */
    private static final int EVENTS = 20;

    /** A request that the engine ran. */
    record Run(String id, String method, String path, long at) {}

    private final Case mCase;
    private final String mId;
    private final String mService;
    private final String mZone;
    private final Store mStore;
    private final ServerSocket mServer;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final List<Run> mRuns = new CopyOnWriteArrayList<>();
    private final long mBorn = System.currentTimeMillis();
    private final long mWorkMillis;
    private volatile boolean mClosed;
    private volatile boolean mLeaving;
    private int mSeq;

    Engine(Case owner, String id, String service, String zone, Store store, long workMillis)
            throws IOException {
        mCase = owner;
        mId = id;
        mService = service;
        mZone = zone;
        mStore = store;
        mWorkMillis = workMillis;
        mServer = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        mThreads.execute(this::accept);
        mThreads.execute(this::announce);
    }

    List<Run> runs() {
        return mRuns;
    }

    /** Stops to renew the entry in the store; the engine goes on serving. */
    void leave() {
        mLeaving = true;
    }

    private void announce() {
        try {
            while (!mClosed && !mLeaving) {
                mSeq++;
                mStore.put("keyed.servers", mId,
                        "{\"service\":\"" + mService + "\",\"address\":\"127.0.0.1:" + mServer.getLocalPort()
                                + "\",\"zone\":\"" + mZone + "\",\"version\":\"v1\",\"slots\":64,"
                                + "\"state\":\"ready\",\"cold_left_ms\":0,\"born\":" + mBorn
                                + ",\"seq\":" + mSeq + "}");
                Thread.sleep(1200);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (!mClosed) {
            try {
                Socket socket = mServer.accept();
                mThreads.execute(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
            for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
                respond(socket.getOutputStream(), request);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed the connection, or this stand-in ends.
        }
    }

    private void respond(OutputStream out, Http.Message request) throws IOException, InterruptedException {
        String[] start = request.startLine().split(" ");
        String id = request.header("x-boragethread-request-id");
        String expected = request.header("x-boragethread-expect-instance");
        if (!expected.isEmpty() && !expected.equals(mId)) {
            write(out, 421, "X-Boragethread-Instance-Id: " + mId + "\r\n", "", false);
            return;
        }
        if (start[1].equals("/health")) {
            write(out, 200, "X-Boragethread-Instance-Id: " + mId + "\r\n", "", false);
            return;
        }
        mCase.note("engine %s runs %s: %s %s, %d bytes".formatted(mId, id, start[0], start[1], request.body().length));
        mRuns.add(new Run(id, start[0], start[1], System.nanoTime()));
        if (start[1].startsWith("/draft/")) {
            stream(out, id);
            return;
        }
        Thread.sleep(mWorkMillis);
        write(out, 200,
                "X-Boragethread-Request-Id: " + id + "\r\nX-Boragethread-Response-Seal: seal-" + id + "\r\n",
                "answer to " + id, start[0].equals("HEAD"));
    }

    /** Responds with a stream of events that takes the time of the work. */
    private void stream(OutputStream out, String id) throws IOException, InterruptedException {
        String headers = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + "X-Boragethread-Request-Id: " + id + "\r\nX-Boragethread-Response-Seal: seal-" + id + "\r\n\r\n";
        for (int event = 1; event <= EVENTS; event++) {
            Thread.sleep(mWorkMillis / EVENTS);
            String text = "id: " + event + "\ndata: piece " + event + " of " + id + "\n\n";
            String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
            out.write(((event == 1 ? headers : "") + chunk).getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static void write(OutputStream out, int status, String headers, String body, boolean head)
            throws IOException {
        String text = "HTTP/1.1 " + status + " Status\r\n" + headers
                + "Content-Length: " + body.length() + "\r\n\r\n" + (head ? "" : body);
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        mClosed = true;
        mServer.close();
        mThreads.shutdownNow();
    }
}
