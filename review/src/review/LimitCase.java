package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Requests on kept channels after the desired state has raised the largest body. */
final class LimitCase extends Case {
    private static final int CHANNELS = 30;
    private static final int SMALL_BYTES = 600;
    private static final int LARGE_BYTES = 2_000_000;
    private static final long CONFIG_APPLY_MS = 2000;
    /** The rule allows 5 and one in 500. */
    private static final int ALLOWED = 5;

    private int mRequests;
    private int mDenied;

    /** A kept channel of one caller. */
    private record Channel(int number, Socket socket, InputStream in) {}

    LimitCase(Path caseFolder) throws IOException {
        super(caseFolder);
    }

    public static void main(String[] args) throws IOException {
        Case.main(new LimitCase(Path.of(args[0])));
    }

    @Override
    boolean run() throws Exception {
        try (Store store = new Store();
                Engine first = new Engine(this, "i-1", DESK, "montevideo", store, 20);
                Engine second = new Engine(this, "i-2", DESK, "canelones", store, 20);
                Entry entry = new Entry(repository, folder, "front-montevideo-1", "montevideo", store)) {
            // Without the disruption the larger limit is in force from the first version on.
            store.put("keyed.op", "config", config(7, trouble ? 1_048_576 : 4_194_304));
            entry.start();
            if (!entry.awaitReady(30_000)) {
                throw new IOException("the entry did not become ready");
            }
            Thread.sleep(4000);
            List<Channel> channels = new ArrayList<>();
            for (int i = 1; i <= CHANNELS; i++) {
                Socket socket = new Socket("127.0.0.1", entry.listenPort());
                socket.setSoTimeout(11_000);
                channels.add(new Channel(i, socket, new BufferedInputStream(socket.getInputStream())));
            }
            sendAll(channels, 1, SMALL_BYTES);
            if (trouble) {
                store.put("keyed.op", "config", config(9, 4_194_304));
                log("version 9 raises max_body_bytes from 1048576 to 4194304; the store has accepted it");
            }
            Thread.sleep(CONFIG_APPLY_MS + 3000);
            sendAll(channels, 2, SMALL_BYTES);
            sendAll(channels, 3, LARGE_BYTES);
            int allowed = ALLOWED + mRequests / 500;
            log("%d requests, %d denied, %d allowed; engines ran %d".formatted(
                    mRequests, mDenied, allowed, first.runs().size() + second.runs().size()));
            for (Channel channel : channels) {
                channel.socket().close();
            }
            return mDenied <= allowed;
        }
    }

    private void sendAll(List<Channel> channels, int turn, int bytes) throws IOException {
        for (Channel channel : channels) {
            String id = "%08x%08x".formatted(channel.number(), turn);
            OutputStream out = channel.socket().getOutputStream();
            out.write(head("POST", "/order/" + id, id, 10_000, bytes).getBytes(StandardCharsets.ISO_8859_1));
            note("caller sends POST %s with %d bytes on channel %d".formatted(id, bytes, channel.number()));
            mRequests++;
            try {
                out.write(new byte[bytes]);
            } catch (IOException e) {
                log(id + ": the channel was closed before the whole body was sent");
            }
            try {
                Http.Message response = Http.read(channel.in(), false);
                if (response != null && response.status() == 200) {
                    note("caller has the answer to %s: 200".formatted(id));
                } else {
                    log("%s with a body of %d bytes was answered %s".formatted(id, bytes,
                            response == null ? "with a closed channel" : response.startLine() + " " + response.text()));
                }
                if (response != null && response.status() >= 400 && response.status() < 500
                        && response.status() != 408 && response.status() != 421 && response.status() != 429) {
                    mDenied++;
                }
            } catch (IOException e) {
                log("%s with a body of %d bytes: %s".formatted(id, bytes, e));
            }
        }
    }
}
