package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Lookups and orders while nobody reads the log of the entry for a time. */
final class LogCase extends Case {
    private static final int CALLERS = 12;
    private static final int PAUSE_MS = 100;
    private static final int TIMEOUT_MS = 3000;
    private static final int SLACK_MS = 500;
    private static final double STALL_FROM_S = 5;
    private static final double STALL_S = 25;
    private static final double LENGTH_S = 40;

    /** Fewer unanswered requests say nothing. */
    private static final int MIN_UNANSWERED = 8;

    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private final AtomicInteger mLate = new AtomicInteger();
    private volatile boolean mReading = true;

    LogCase(Path caseFolder) throws IOException {
        super(caseFolder);
    }

    public static void main(String[] args) throws IOException {
        Case.main(new LogCase(Path.of(args[0])));
    }

    @Override
    boolean run() throws Exception {
        try (Store store = new Store();
                Engine first = new Engine(this, "i-1", DESK, "montevideo", store, 20);
                Engine second = new Engine(this, "i-2", DESK, "canelones", store, 20);
                Entry entry = new Entry(repository, folder, "front-montevideo-1", "montevideo", store)) {
            store.put("keyed.op", "config", config(7, 4_194_304));
            entry.setLogReader(log -> startReader(log));
            entry.start();
            if (!entry.awaitReady(30_000)) {
                throw new IOException("the entry did not become ready");
            }
            Thread.sleep(4000);
            long start = System.nanoTime();
            List<Thread> callers = new ArrayList<>();
            for (int i = 1; i <= CALLERS; i++) {
                int number = i;
                Thread caller = new Thread(() -> call(entry, number, start));
                callers.add(caller);
                caller.start();
            }
            boolean ready = true;
            while (seconds(start) < LENGTH_S) {
                boolean stalled =
                        trouble && seconds(start) >= STALL_FROM_S && seconds(start) < STALL_FROM_S + STALL_S;
                if (mReading == stalled) {
                    mReading = !stalled;
                    log(stalled ? "nobody reads the log" : "the log is read again");
                }
                boolean now = entry.isReady();
                if (now != ready) {
                    ready = now;
                    log(ready ? "the entry is ready" : "the entry is not ready, or did not answer within a second");
                }
                Thread.sleep(500);
            }
            mReading = true;
            for (Thread caller : callers) {
                caller.join();
            }
            log("orders: %d answered; engines ran %d".formatted(
                    mAnswered.get(), first.runs().size() + second.runs().size()));
            log("%d requests were unanswered at the route's timeout_ms of %d ms, %d of them also %d ms later".formatted(
                    mUnanswered.get(), TIMEOUT_MS, mLate.get(), SLACK_MS));
            return mUnanswered.get() < MIN_UNANSWERED || 2 * mLate.get() <= mUnanswered.get();
        }
    }

    private static double seconds(long start) {
        return (System.nanoTime() - start) / 1e9;
    }

    /** Reads the log, unless it pauses. */
    private void startReader(InputStream log) {
        Thread reader =
                new Thread(
                        () -> {
                            byte[] bytes = new byte[65536];
                            try {
                                while (true) {
                                    if (mReading && log.read(bytes) < 0) {
                                        return;
                                    }
                                    Thread.sleep(mReading ? 0 : 50);
                                }
                            } catch (IOException | InterruptedException e) {
                                // The process has ended.
                            }
                        });
        reader.setDaemon(true);
        reader.start();
    }

    /** Sends orders one after the other on a kept channel. */
    private void call(Entry entry, int caller, long start) {
        int number = 0;
        while (seconds(start) < LENGTH_S) {
            try (Socket socket = new Socket("127.0.0.1", entry.listenPort())) {
                socket.setSoTimeout(TIMEOUT_MS + SLACK_MS);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (seconds(start) < LENGTH_S) {
                    number++;
                    if (!order(socket, in, "%08x%08x".formatted(caller, number))) {
                        break;
                    }
                    Thread.sleep(PAUSE_MS);
                }
            } catch (IOException e) {
                log("caller %d: %s".formatted(caller, e));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private boolean order(Socket socket, InputStream in, String id) throws IOException {
        long sentAt = System.nanoTime();
        note("caller sends POST " + id);
        socket.getOutputStream()
                .write(head("POST", "/order/" + id, id, TIMEOUT_MS, 0).getBytes(StandardCharsets.ISO_8859_1));
        try {
            Http.Message response = Http.read(in, false);
            if (response != null) {
                note("caller has the answer to %s: %d".formatted(id, response.status()));
                mAnswered.incrementAndGet();
                mUnanswered.addAndGet(System.nanoTime() - sentAt >= TIMEOUT_MS * 1_000_000L ? 1 : 0);
                return true;
            }
            log("%s: the channel was closed without an answer".formatted(id));
            return false;
        } catch (SocketTimeoutException e) {
            mUnanswered.incrementAndGet();
            mLate.incrementAndGet();
            log("%s: no answer after %d ms".formatted(
                    id, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt)));
            return false;
        }
    }
}
