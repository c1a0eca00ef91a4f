import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters send requests on kept channels. The gateway gets SIGTERM; requests that begin to arrive
 * 2.3 s later, and are whole over 3 s later, ask for answers that engines write over five seconds.
 */
final class LateBodyCase extends Case {

    private static final int CHANNELS = 6;
    private static final int EARLIER_REQUESTS = 5;
    private static final int ANSWER_BYTES = 600_000;
    private static final int ANSWER_PARTS = 20;
    private static final long SHORT_PART_MILLIS = 10;
    private static final long LONG_PART_MILLIS = 250;
    private static final int BODY_BYTES = 90_000;
    private static final int BODY_PARTS = 12;
    private static final long BODY_PART_MILLIS = 100;
    private static final long BEGIN_MILLIS = 2300;
    private static final int TIMEOUT_MS = 15_000;

    private final AtomicInteger mLost = new AtomicInteger();
    private volatile long mTermAt;

    private LateBodyCase(String[] args) throws IOException {
        super(args);
    }

    public static void main(String[] args) throws IOException {
        new LateBodyCase(args).run();
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
                    desiredState(7, 4194304, route("/bobo563/", "unsafe", TIMEOUT_MS, 2)));
            gateway.awaitReady();
            sleep(1000);
            return play(gateway);
        }
    }

    /** Writes the answer as it is made; some requests take longer than others. */
    private void answer(Engine.Call call) throws IOException, InterruptedException {
        boolean isLong = call.id().startsWith("long");
        record("engine: %s arrives with %d bytes", call.id(), call.body.length);
        byte[] part = new byte[ANSWER_BYTES / ANSWER_PARTS];
        Arrays.fill(part, (byte) 'x');
        String length = "Content-Length: " + ANSWER_BYTES + "\r\n";
        call.out.write(call.sealedHead(200, length).getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 0; i < ANSWER_PARTS; i++) {
            Thread.sleep(isLong ? LONG_PART_MILLIS : SHORT_PART_MILLIS);
            call.out.write(part);
            call.out.flush();
        }
        record("engine: %s is answered whole", call.id());
    }

    private int play(Gateway gateway) throws Exception {
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < CHANNELS; i++) {
            callers.add(new Caller(gateway.front(), TIMEOUT_MS));
            for (int k = 0; k < EARLIER_REQUESTS; k++) {
                post(callers.get(i), "short-" + i + "-" + k, 0);
            }
        }
        mTermAt = System.nanoTime();
        if (trouble) {
            gateway.signal("TERM");
            record("the gateway gets SIGTERM");
        }
        sleep(BEGIN_MILLIS);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CHANNELS; i++) {
            Caller caller = callers.get(i);
            String id = "long-" + i;
            threads.add(daemon("requester", () -> post(caller, id, BODY_PART_MILLIS)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record("requests that ran and whose channel ended without a whole answer: %d", mLost.get());
        return mLost.get() == 0 ? HELD : BROKEN;
    }

    private void post(Caller caller, String id, long pauseMillis) {
        boolean headArrived = false;
        try {
            String length = "Content-Length: " + BODY_BYTES + "\r\n";
            caller.send(requestHead("POST", "/bobo563/" + id, id, TIMEOUT_MS, length));
            byte[] part = new byte[BODY_BYTES / BODY_PARTS];
            Arrays.fill(part, (byte) 'y');
            for (int i = 0; i < BODY_PARTS; i++) {
                sleep(pauseMillis);
                caller.send(part);
            }
            long millis = (System.nanoTime() - mTermAt) / 1_000_000;
            if (pauseMillis > 0) {
                record("requesters: the last byte of %s is sent %d ms after the signal", id, millis);
            }
            Optional<Http.Head> head = Http.readHead(caller.in(), true);
            if (head.isEmpty()) {
                record("requesters: the channel of %s is closed", id);
                return;
            }
            headArrived = true;
            int bytes = Http.readBody(caller.in(), head.get()).length;
            record("requesters: %s is answered %d, %d bytes", id, head.get().status(), bytes);
        } catch (IOException e) {
            mLost.addAndGet(headArrived ? 1 : 0);
            record(
                    "requesters: %s: %s, %d ms after the signal",
                    id, e.getMessage(), (System.nanoTime() - mTermAt) / 1_000_000);
        }
    }
}
