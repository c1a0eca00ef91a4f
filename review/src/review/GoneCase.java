package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Orders while engines leave without saying so, beside a record of another writer. */
final class GoneCase extends Case {
    private static final String SERVERS = "keyed.servers";
    private static final long HEARTBEAT_MS = 1200;
    /** A quarter leaves, the largest share of the site file. */
    private static final int ENGINES = 32;
    private static final int LEAVING = 8;
    private static final long STEP_MS = 900;
    private static final double DRAIN_S = 2;

    /** Beyond the bound of the rule, for the time that a request takes on its way. */
    private static final double MARGIN_S = 1;

    private static final double SERVES_ON_S = 12;

    /** A record of another writer, whose cold_left_ms holds a time in nanoseconds since 1970. */
    private static final String FOREIGN =
            "{\"service\":\"" + DESK + "\",\"address\":\"127.0.0.1:9\",\"zone\":\"montevideo\",\"version\":\"v1\","
                    + "\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":1764936000000000000,\"seq\":1}";

    private static final int CALLERS = 8;

    private volatile boolean mEnded;

    GoneCase(Path caseFolder) throws IOException {
        super(caseFolder);
    }

    public static void main(String[] args) throws IOException {
        Case.main(new GoneCase(Path.of(args[0])));
    }

    @Override
    boolean run() throws Exception {
        List<Engine> engines = new ArrayList<>();
        try (Store store = new Store();
                Entry entry = new Entry(repository, folder, "front-montevideo-1", "montevideo", store)) {
            store.put("keyed.op", "config", config(7, 4_194_304));
            for (int i = 1; i <= ENGINES; i++) {
                engines.add(new Engine(this, "i-" + i, DESK, i <= LEAVING ? "montevideo" : "canelones", store, 5));
            }
            entry.start();
            if (!entry.awaitReady(30_000)) {
                throw new IOException("the entry did not become ready");
            }
            if (trouble) {
                store.put(SERVERS, "i-other", FOREIGN);
                log("another writer has put a record into the store: " + FOREIGN);
            }
            Thread.sleep(6000);
            List<Thread> callers = new ArrayList<>();
            for (int i = 1; i <= CALLERS; i++) {
                int number = i;
                Thread caller = new Thread(() -> sendOrders(entry, number));
                callers.add(caller);
                caller.start();
            }
            engines.subList(0, LEAVING).forEach(Engine::leave);
            // The records are removed, not renewed: no renewal may follow.
            Thread.sleep(HEARTBEAT_MS + 100);
            Map<Engine, Long> removedAt = new LinkedHashMap<>();
            for (int i = 0; i < LEAVING; i++) {
                store.remove(SERVERS, "i-" + (i + 1));
                removedAt.put(engines.get(i), System.nanoTime());
                note("the store has removed i-%d, which serves on".formatted(i + 1));
                Thread.sleep(STEP_MS);
            }
            Thread.sleep((long) (1000 * SERVES_ON_S));
            mEnded = true;
            for (Thread caller : callers) {
                caller.join();
            }
            int broken = 0;
            int index = 0;
            for (Map.Entry<Engine, Long> gone : removedAt.entrySet()) {
                index++;
                long late =
                        gone.getKey().runs().stream()
                                .filter(run -> (run.at() - gone.getValue()) / 1e9 > DRAIN_S + MARGIN_S)
                                .count();
                if (late > 0) {
                    broken += late;
                    log("i-%d ran %d orders later than %.0f s after the ack of its removal".formatted(
                            index, late, DRAIN_S + MARGIN_S));
                }
            }
            log("%d engines left, %d orders reached them too late".formatted(LEAVING, broken));
            return broken == 0;
        } finally {
            for (Engine engine : engines) {
                engine.close();
            }
        }
    }

    /** Sends orders one after the other on a kept channel. */
    private void sendOrders(Entry entry, int caller) {
        int number = 0;
        while (!mEnded) {
            try (Socket socket = new Socket("127.0.0.1", entry.listenPort())) {
                socket.setSoTimeout(5000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (!mEnded) {
                    String id = "%08x%08x".formatted(caller, ++number);
                    note("caller sends POST " + id);
                    socket.getOutputStream()
                            .write(head("POST", "/order/" + id, id, 3000, 0).getBytes(StandardCharsets.ISO_8859_1));
                    Http.Message response = Http.read(in, false);
                    if (response == null) {
                        break;
                    }
                    note("caller has the answer to %s: %d".formatted(id, response.status()));
                    Thread.sleep(50);
                }
            } catch (IOException e) {
                log("caller %d: %s".formatted(caller, e));
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
