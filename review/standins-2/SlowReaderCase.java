import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Requesters read large answers slowly, well within their time limit, when the gateway gets SIGTERM
 * (planned work).
 */
final class SlowReaderCase extends Case {

    private static final int REQUESTERS = 112;
    private static final int FIRST_BYTES = 3_540_000;
    private static final int STEP_BYTES = 8_000;
    private static final int BYTES_PER_SECOND = 40_000;
    private static final int RECEIVE_BYTES = 64 << 10;
    private static final int DEADLINE_MS = 90_000;
    private static final long TERM_AFTER_MILLIS = 6000;
    private static final long SLOW_AFTER_TERM_MILLIS = 4000;

    private volatile long mFastFrom = Long.MAX_VALUE;

    private SlowReaderCase(String[] args) throws IOException {
        super(args);
    }

    public static void main(String[] args) throws IOException {
        new SlowReaderCase(args).run();
    }

    @Override
    int play() throws Exception {
        try (Platform platform = new Platform();
                Engine first = new Engine(platform, "i-1", "wuno96b", this::answer);
                Engine second = new Engine(platform, "i-2", "wuno96b", this::answer);
                Gateway gateway = new Gateway(repository, folder, "front-montevideo-1", platform)) {
            platform.put(
                    "keyed.op",
                    "config",
                    desiredState(7, 4194304, route("/wuhu344/", "safe", DEADLINE_MS, 2)));
            gateway.awaitReady();
            sleep(1000);
            return play(gateway);
        }
    }

    private static byte[] result(String id) {
        int number = Integer.parseInt(id.substring(id.lastIndexOf('-') + 1));
        byte[] result = new byte[FIRST_BYTES + STEP_BYTES * number];
        for (int i = 0; i < result.length; i++) {
            result[i] = (byte) ('a' + (number + i / 100) % 26);
        }
        return result;
    }

    private void answer(Engine.Call call) throws IOException {
        byte[] result = result(call.id());
        record("engine: %s arrives, %d bytes are the answer", call.id(), result.length);
        call.respond(200, result);
        record("engine: %s is answered whole", call.id());
    }

    private int play(Gateway gateway) throws Exception {
        List<Thread> threads = new ArrayList<>();
        int[] lost = new int[REQUESTERS];
        for (int i = 0; i < REQUESTERS; i++) {
            int number = i;
            threads.add(daemon("requester", () -> lost[number] = request(gateway, number)));
        }
        sleep(TERM_AFTER_MILLIS);
        if (trouble) {
            gateway.signal("TERM");
            record("the gateway gets SIGTERM");
        }
        sleep(SLOW_AFTER_TERM_MILLIS);
        record("the requesters read at full speed");
        mFastFrom = System.nanoTime();
        for (Thread thread : threads) {
            thread.join();
        }
        int sum = Arrays.stream(lost).sum();
        record("answers that end incomplete: %d", sum);
        return sum == 0 ? HELD : BROKEN;
    }

    private int request(Gateway gateway, int number) {
        String id = "req-" + number;
        byte[] expected = result(id);
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try (Caller caller = new Caller(gateway.front(), DEADLINE_MS, RECEIVE_BYTES)) {
            caller.send(requestHead("GET", "/wuhu344/" + id, id, DEADLINE_MS, ""));
            Http.Head head = Http.readHead(caller.in(), true).orElseThrow();
            record("requesters: the answer to %s begins with status %d", id, head.status());
            byte[] buffer = new byte[BYTES_PER_SECOND / 10];
            while (received.size() < expected.length) {
                int read = caller.in().read(buffer);
                if (read < 0) {
                    break;
                }
                received.write(buffer, 0, read);
                if (System.nanoTime() < mFastFrom) {
                    sleep(read * 1000L / BYTES_PER_SECOND);
                }
            }
        } catch (IOException e) {
            record("requesters: %s: %s", id, e);
        }
        boolean whole = Arrays.equals(received.toByteArray(), expected);
        record(
                "requesters: %s has %d of %d bytes%s",
                id, received.size(), expected.length, whole ? "" : ", and the channel has ended");
        return whole ? 0 : 1;
    }
}
