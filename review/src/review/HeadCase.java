package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** A caller's HEAD requests on a kept channel while the store is down. */
final class HeadCase extends Case {
    private static final long STORE_DOWN_MS = 8000;

    private int mAnswers;
    private int mRefusals;
    private int mStray;

    HeadCase(Path caseFolder) throws IOException {
        super(caseFolder);
    }

    public static void main(String[] args) throws IOException {
        Case.main(new HeadCase(Path.of(args[0])));
    }

    @Override
    boolean run() throws Exception {
        try (Store store = new Store();
                Engine first = new Engine(this, "i-1", LOOKUPS, "montevideo", store, 20);
                Engine second = new Engine(this, "i-2", LOOKUPS, "canelones", store, 20);
                Entry entry = new Entry(repository, folder, "front-montevideo-1", "montevideo", store)) {
            store.put("keyed.op", "config", config(7, 4194304));
            entry.start();
            if (!entry.awaitReady(30_000)) {
                throw new IOException("the entry did not become ready");
            }
            Thread.sleep(4000);
            Thread operator = new Thread(() -> stopStore(store));
            operator.start();
            long end = System.nanoTime() + 14_000_000_000L;
            for (int channel = 1; System.nanoTime() < end; channel++) {
                useChannel(entry, channel, end);
            }
            operator.join();
            log("answers %d, refusals %d, channels with bytes that are no answer %d; engines ran %d + %d"
                    .formatted(mAnswers, mRefusals, mStray, first.runs().size(), second.runs().size()));
            if (mAnswers == 0) {
                throw new IOException("no request was answered");
            }
            return mStray == 0;
        }
    }

    private void stopStore(Store store) {
        try {
            Thread.sleep(2000);
            if (trouble) {
                log("the store is down (503 to all calls)");
                store.setDown(true);
                Thread.sleep(STORE_DOWN_MS);
                store.setDown(false);
                log("the store is back");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends HEAD and GET requests in turn on one kept channel until it ends. */
    private void useChannel(Entry entry, int channel, long end) throws InterruptedException {
        try (Socket socket = new Socket("127.0.0.1", entry.listenPort())) {
            socket.setSoTimeout(11_000);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (int i = 1; System.nanoTime() < end; i++) {
                String method = i % 2 == 1 ? "HEAD" : "GET";
                String id = "%08x%08x".formatted(channel, i);
                socket.getOutputStream()
                        .write(head(method, "/lookup/" + id, id, 2000, -1).getBytes(StandardCharsets.ISO_8859_1));
                note("caller sends %s %s on channel %d".formatted(method, id, channel));
                in.mark(256);
                byte[] begin = new byte[9];
                int read = in.readNBytes(begin, 0, begin.length);
                if (read == 0) {
                    log("channel %d was closed before the response to %s %s".formatted(channel, method, id));
                    return;
                }
                if (!new String(begin, StandardCharsets.ISO_8859_1).equals("HTTP/1.1 ")) {
                    in.reset();
                    byte[] bytes = new byte[Math.min(120, in.available())];
                    in.readNBytes(bytes, 0, bytes.length);
                    mStray++;
                    log("channel %d: where the answer to %s %s is due, these bytes came: %s"
                            .formatted(channel, method, id, new String(bytes, StandardCharsets.ISO_8859_1)));
                    return;
                }
                in.reset();
                Http.Message response = Http.read(in, method.equals("HEAD"));
                if (response.status() == 200) {
                    note("caller has the answer to %s: 200".formatted(id));
                    mAnswers++;
                } else {
                    mRefusals++;
                    log("channel %d: %s %s was answered %d".formatted(channel, method, id, response.status()));
                }
                Thread.sleep(150);
            }
        } catch (IOException e) {
            log("channel %d: %s".formatted(channel, e));
            Thread.sleep(50);
        }
    }
}
