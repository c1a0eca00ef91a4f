package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A resumable stream while the engines of its service are replaced by newer ones in turn. */
final class VersionCase extends Case {
    private static final int ROUNDS = 3;
    private static final int EVENTS = 40;
    private static final long EVENT_MS = 100;
    private static final long HEARTBEAT_MS = 1200;
    private static final long DOWN_MS = 200;
    private static final long GAP_MS = 850;
    private static final int TIMEOUT_MS = 10_000;
    private static final Pattern PIECE = Pattern.compile("data: piece (\\d+) by software (\\S+) of");

    VersionCase(Path caseFolder) throws IOException {
        super(caseFolder);
    }

    public static void main(String[] args) throws IOException {
        Case.main(new VersionCase(Path.of(args[0])));
    }

    @Override
    boolean run() throws Exception {
        try (Store store = new Store();
                Restarting first = new Restarting("i-1", "montevideo", store);
                Restarting second = new Restarting("i-2", "montevideo", store);
                // Half of the engines are replaced; these two are in another zone and are not.
                Restarting third = new Restarting("i-3", "canelones", store);
                Restarting fourth = new Restarting("i-4", "canelones", store);
                Entry entry = new Entry(repository, folder, "front-montevideo-1", "montevideo", store)) {
            store.put("keyed.op", "config", resumableConfig());
            entry.start();
            if (!entry.awaitReady(30_000)) {
                throw new IOException("the entry did not become ready");
            }
            // The entry uses its share of the retry budget only some time after it has joined the others.
            Thread.sleep(18_000);
            int joined = 0;
            for (int round = 1; round <= ROUNDS; round++) {
                // All announcements are certain by now.
                Thread.sleep(4000);
                String id = "%016x".formatted(round);
                List<String> text = new ArrayList<>();
                Thread caller = new Thread(() -> text.add(stream(entry, id)));
                caller.start();
                Thread.sleep(1000);
                if (trouble) {
                    Restarting running = first.runs(id) ? first : second;
                    Restarting idle = running == first ? second : first;
                    idle.restart("v" + (round + 1));
                    Thread.sleep(GAP_MS - DOWN_MS);
                    running.restart("v" + (round + 1));
                }
                caller.join();
                note("engines of the other zone ran it: " + third.runs(id) + ", " + fourth.runs(id));
                joined += judge(id, text.get(0)) ? 0 : 1;
            }
            log("%d of %d streams were joined from two versions of the software".formatted(joined, ROUNDS));
            return joined == 0;
        }
    }

    /** Returns whether a stream that ended whole was written by one version. */
    private boolean judge(String id, String text) {
        Set<String> versions = new TreeSet<>();
        int expected = 1;
        boolean inOrder = true;
        Matcher piece = PIECE.matcher(text);
        while (piece.find()) {
            inOrder &= Integer.parseInt(piece.group(1)) == expected;
            expected++;
            versions.add(piece.group(2));
        }
        log("stream %s: %d pieces%s, by software %s".formatted(
                id, expected - 1, inOrder ? " in order" : ", not in order", versions));
        return expected - 1 < EVENTS || versions.size() == 1;
    }

    private String stream(Entry entry, String id) {
        try (Socket socket = new Socket("127.0.0.1", entry.listenPort())) {
            socket.setSoTimeout(TIMEOUT_MS + 1000);
            note("caller sends POST " + id);
            socket.getOutputStream().write(
                    head("POST", "/draft/" + id, id, TIMEOUT_MS, 0).getBytes(StandardCharsets.ISO_8859_1));
            Http.Message response = Http.read(new BufferedInputStream(socket.getInputStream()), false);
            log("stream %s was answered %s".formatted(id, response == null ? "with a closed channel" : response.startLine()));
            return response == null ? "" : response.text();
        } catch (IOException e) {
            log("stream %s was cut off: %s".formatted(id, e.getMessage()));
            return "";
        }
    }

    private static String resumableConfig() {
        return """
                {"version":7,"routes":[
                {"name":"r-draft","hostname":"%s","path_prefix":"/draft/","kind":"streaming","timeout_ms":%d,"target_latency_ms":1900,"priority":0,"service":"%s","max_attempts":2,"stages":[],"public":false,"sticky":true,"can_resume":true,"gap_aim_ms":1000}],
                "services":[{"name":"%s","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0}],
                "limits":{"header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
                "tenants":[{"name":"bozi300","api_keys":["%s"],"priority":1}]}
                """.formatted(HOST, TIMEOUT_MS, DESK, DESK, KEY);
    }

    /** An engine that starts again under the id and at the address that it had. */
    private final class Restarting implements AutoCloseable {
        private final String mId;
        private final String mZone;
        private final Store mStore;
        private final int mPort;
        private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
        private final Set<String> mRuns = ConcurrentHashMap.newKeySet();
        private ServerSocket mServer;
        private volatile String mVersion = "v1";
        private volatile long mBorn = System.currentTimeMillis();
        private volatile boolean mDown;
        private volatile boolean mClosed;
        private int mSeq;
        private Thread mAnnouncer;

        Restarting(String id, String zone, Store store) throws IOException {
            mId = id;
            mZone = zone;
            mStore = store;
            mServer = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
            mPort = mServer.getLocalPort();
            start(0);
        }

        boolean runs(String id) {
            return mRuns.contains(id);
        }

        private void start(long announceAfter) {
            ServerSocket server = mServer;
            new Thread(() -> accept(server)).start();
            mAnnouncer = new Thread(() -> announce(announceAfter));
            mAnnouncer.start();
        }

        /** Ends at once and starts again; the new run writes its first entry after a heartbeat. */
        void restart(String version) throws IOException, InterruptedException {
            note("%s ends".formatted(mId));
            mAnnouncer.interrupt();
            mAnnouncer.join();
            mDown = true;
            mServer.close();
            for (Socket socket : mSockets) {
                socket.close();
            }
            Thread.sleep(DOWN_MS);
            mVersion = version;
            mBorn = System.currentTimeMillis();
            mSeq = 0;
            mDown = false;
            mServer = new ServerSocket();
            mServer.setReuseAddress(true);
            mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), mPort), 64);
            note("%s has started again with software %s".formatted(mId, version));
            start(HEARTBEAT_MS);
        }

        private void announce(long after) {
            try {
                Thread.sleep(after);
                while (!mClosed) {
                    mSeq++;
                    mStore.put("keyed.servers", mId,
                            "{\"service\":\"" + DESK + "\",\"address\":\"127.0.0.1:" + mPort + "\",\"zone\":\"" + mZone
                                    + "\",\"version\":\"" + mVersion + "\",\"slots\":64,\"state\":\"ready\","
                                    + "\"cold_left_ms\":0,\"born\":" + mBorn + ",\"seq\":" + mSeq + "}");
                    if (mSeq == 1) {
                        note("%s has announced software %s".formatted(mId, mVersion));
                    }
                    Thread.sleep(HEARTBEAT_MS);
                }
            } catch (InterruptedException e) {
                // The engine has ended.
            }
        }

        private void accept(ServerSocket server) {
            while (true) {
                try {
                    Socket socket = server.accept();
                    mSockets.add(socket);
                    new Thread(() -> serve(socket)).start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
                    respond(socket.getOutputStream(), request);
                }
            } catch (IOException | InterruptedException e) {
                // The connection has ended.
            } finally {
                mSockets.remove(socket);
            }
        }

        private void respond(OutputStream out, Http.Message request) throws IOException, InterruptedException {
            String expected = request.header("x-boragethread-expect-instance");
            if (!expected.isEmpty() && !expected.equals(mId)) {
                out.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n".getBytes());
                return;
            }
            String id = request.header("x-boragethread-request-id");
            String last = request.header("last-event-id");
            String version = mVersion;
            mRuns.add(id);
            note("engine %s with software %s runs %s after event %s".formatted(mId, version, id, last.isEmpty() ? "0" : last));
            String headers = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                    + "X-Boragethread-Request-Id: " + id + "\r\nX-Boragethread-Response-Seal: seal-" + id + "\r\n\r\n";
            for (int event = (last.isEmpty() ? 0 : Integer.parseInt(last)) + 1; event <= EVENTS; event++) {
                Thread.sleep(EVENT_MS);
                if (mDown) {
                    throw new IOException("the engine has ended");
                }
                String text = "id: " + event + "\ndata: piece " + event + " by software " + version + " of " + id + "\n\n";
                String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
                out.write((headers + chunk).getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                headers = "";
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        @Override
        public void close() throws IOException {
            mClosed = true;
            mAnnouncer.interrupt();
            mServer.close();
            for (Socket socket : mSockets) {
                socket.close();
            }
        }
    }
}
