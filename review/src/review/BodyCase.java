package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Drafts with bodies within the limit, at a steady rate; many callers come at once for a time. */
final class BodyCase extends Case {
    private static final int BODY_BYTES = 4_000_000;
    private static final long WORK_MS = 2000;
    private static final int TIMEOUT_MS = 6000;
    private static final int SLACK_MS = 500;
    /** Requesters allow a new channel one second. */
    private static final int CONNECT_MS = 1000;

    private static final double PER_SECOND = 6;
    private static final double BURST_X = 2.4;
    private static final double BURST_FROM_S = 10;
    private static final double BURST_S = 6.5;
    private static final double LENGTH_S = 30;
    private static final long MAX_REUSE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Fewer unanswered requests say nothing. */
    private static final int MIN_UNANSWERED = 8;

    private final Map<String, Outcome> mOutcomes = new ConcurrentHashMap<>();
    private final ScheduledExecutorService mTimers = Executors.newScheduledThreadPool(1);
    private final Deque<Kept> mChannels = new ArrayDeque<>();

    /** A channel on which a request was answered before. */
    private record Kept(Socket socket, InputStream in, long usedAt) {}

    /** How a request ended for its caller, and how long after it was begun. */
    private record Outcome(String text, boolean answered, long millis) {}

    BodyCase(Path caseFolder) throws IOException {
        super(caseFolder);
    }

    public static void main(String[] args) throws IOException {
        Case.main(new BodyCase(Path.of(args[0])));
    }

    @Override
    boolean run() throws Exception {
        try (Store store = new Store();
                Engine first = new Engine(this, "i-1", DESK, "montevideo", store, WORK_MS);
                Engine second = new Engine(this, "i-2", DESK, "canelones", store, WORK_MS);
                Entry entry = new Entry(repository, folder, "front-montevideo-1", "montevideo", store)) {
            store.put("keyed.op", "config", config(7, 4_194_304));
            entry.start();
            if (!entry.awaitReady(30_000)) {
                throw new IOException("the entry did not become ready");
            }
            Thread.sleep(4000);
            Thread probe = new Thread(() -> probe(entry));
            probe.setDaemon(true);
            probe.start();
            sendAll(entry);
            return judge(entry, first, second);
        }
    }

    private void sendAll(Entry entry) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        long start = System.nanoTime();
        boolean inBurst = false;
        for (int i = 1; (System.nanoTime() - start) / 1e9 < LENGTH_S; i++) {
            double at = (System.nanoTime() - start) / 1e9;
            boolean burst = trouble && at >= BURST_FROM_S && at < BURST_FROM_S + BURST_S;
            if (burst != inBurst) {
                inBurst = burst;
                log(burst ? "callers send %.1f times as much".formatted(BURST_X) : "the burst is over");
            }
            String id = "%016x".formatted(i);
            Thread thread = new Thread(() -> send(entry, id));
            threads.add(thread);
            thread.start();
            Thread.sleep((long) (1000 / (burst ? PER_SECOND * BURST_X : PER_SECOND)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /** Asks for readiness once a second, as the platform does. */
    private void probe(Entry entry) {
        boolean ready = true;
        while (true) {
            boolean now = entry.isReady();
            if (now != ready) {
                ready = now;
                log(ready ? "the entry is ready" : "the entry is not ready, or did not answer within a second");
            }
            try {
                Thread.sleep(1000);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void send(Entry entry, String id) {
        Kept kept;
        synchronized (mChannels) {
            kept = mChannels.pollLast();
        }
        long startedAt = System.nanoTime();
        note("caller begins POST %s with %d bytes".formatted(id, BODY_BYTES));
        String phase = "while a channel was opened";
        Future<?> leaving = CompletableFuture.completedFuture(null);
        try {
            if (kept == null || startedAt - kept.usedAt() > MAX_REUSE_NANOS) {
                Socket socket = new Socket();
                socket.connect(new InetSocketAddress("127.0.0.1", entry.listenPort()), CONNECT_MS);
                kept = new Kept(socket, new BufferedInputStream(socket.getInputStream()), 0);
            }
            Socket channel = kept.socket();
            leaving = mTimers.schedule(() -> close(channel), TIMEOUT_MS + SLACK_MS, TimeUnit.MILLISECONDS);
            phase = "while the request was sent";
            OutputStream out = kept.socket().getOutputStream();
            out.write(head("POST", "/draft/" + id, id, TIMEOUT_MS, BODY_BYTES).getBytes(StandardCharsets.ISO_8859_1));
            out.write(new byte[BODY_BYTES]);
            phase = "after the whole request was sent";
            Http.Message response = Http.read(kept.in(), false);
            if (response == null) {
                throw new IOException("end of the channel");
            }
            boolean whole = response.status() != 200 || response.text().contains("\nid: 20\n");
            mOutcomes.put(id, new Outcome("status " + response.status() + (whole ? "" : ", but not all events"),
                    whole, millisSince(startedAt)));
            if (response.status() == 200) {
                note("caller has the answer to %s: 200".formatted(id));
            } else {
                log("%s was answered %s after %d ms: %s".formatted(
                        id, response.status(), millisSince(startedAt), response.text()));
            }
            synchronized (mChannels) {
                mChannels.add(new Kept(kept.socket(), kept.in(), System.nanoTime()));
            }
        } catch (IOException e) {
            boolean late = millisSince(startedAt) >= TIMEOUT_MS + SLACK_MS;
            String text = late ? "no answer by then" : "channel closed " + phase;
            mOutcomes.put(id, new Outcome(text, !late, millisSince(startedAt)));
            log("%s: %s after %d ms, %s".formatted(id, text, millisSince(startedAt), phase));
            if (kept != null) {
                close(kept.socket());
            }
        } finally {
            leaving.cancel(false);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    private static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    private boolean judge(Entry entry, Engine first, Engine second) throws IOException {
        Set<String> ran = new HashSet<>();
        first.runs().forEach(run -> ran.add(run.id()));
        second.runs().forEach(run -> ran.add(run.id()));
        Map<String, Integer> counts = new TreeMap<>();
        int unanswered = 0;
        int late = 0;
        for (Map.Entry<String, Outcome> end : mOutcomes.entrySet()) {
            Outcome outcome = end.getValue();
            String run = ran.contains(end.getKey()) ? "run by an engine" : "not run";
            counts.merge(run + ", " + outcome.text(), 1, Integer::sum);
            unanswered += outcome.millis() >= TIMEOUT_MS ? 1 : 0;
            late += outcome.answered() ? 0 : 1;
        }
        counts.forEach((outcome, count) -> log("%4d drafts: %s".formatted(count, outcome)));
        long errors =
                Files.readAllLines(entry.log()).stream().filter(line -> line.contains("OutOfMemoryError")).count();
        log("lines of the entry's log with OutOfMemoryError: " + errors + "; the process runs: " + entry.isAlive());
        log("%d requests were unanswered at the route's timeout_ms of %d ms, %d of them also %d ms later".formatted(
                unanswered, TIMEOUT_MS, late, SLACK_MS));
        return unanswered < MIN_UNANSWERED || 2 * late <= unanswered;
    }
}
