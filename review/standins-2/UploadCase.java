import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters upload large bodies, within the limits of the desired state, beside others that send
 * small requests on kept channels. Then 2.3 times as many upload at once (a burst).
 */
final class UploadCase extends Case {

    private static final int USUAL_UPLOADS = 16;
    private static final int BURST_UPLOADS = 38;
    private static final int SMALL_REQUESTERS = 20;
    private static final int BODY_BYTES = 3_900_000;
    private static final int MAX_BODY_BYTES = 4194304;

    /** An upload takes about 3 s, so that 38 take 400 Mbit/s of a link of 1,000. */
    private static final int UPLOAD_PART_BYTES = 130_000;

    private static final long UPLOAD_PAUSE_MILLIS = 100;
    private static final int UPLOAD_DEADLINE_MS = 15_000;
    private static final int SMALL_DEADLINE_MS = 1000;
    private static final int SLACK_MS = 500;

    /** More closed channels than this break LOST. */
    private static final int LOST_ALLOWED = 3;

    private final Set<String> mRun = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mLost = new AtomicInteger();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private final AtomicInteger mLate = new AtomicInteger();
    private volatile boolean mEnd;

    private UploadCase(String[] args) throws IOException {
        super(args);
    }

    public static void main(String[] args) throws IOException {
        new UploadCase(args).run();
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
                    desiredState(
                            7,
                            MAX_BODY_BYTES,
                            route("/bobo563/", "unsafe", UPLOAD_DEADLINE_MS, 2),
                            route("/lowu77/", "unsafe", SMALL_DEADLINE_MS, 2)));
            gateway.awaitReady();
            sleep(1000);
            return play(gateway);
        }
    }

    private void answer(Engine.Call call) throws IOException, InterruptedException {
        mRun.add(call.id());
        Thread.sleep(call.body.length > 100_000 ? 1000 : 40);
        call.respond(200, ("result of " + call.id()).getBytes(StandardCharsets.UTF_8));
    }

    private int play(Gateway gateway) throws Exception {
        List<Thread> small = new ArrayList<>();
        for (int i = 0; i < SMALL_REQUESTERS; i++) {
            int number = i;
            small.add(daemon("small", () -> sendSmall(gateway, number)));
        }
        upload(gateway, USUAL_UPLOADS, "usual-1");
        upload(gateway, USUAL_UPLOADS, "usual-2");
        upload(gateway, trouble ? BURST_UPLOADS : USUAL_UPLOADS, "burst");
        mEnd = true;
        for (Thread thread : small) {
            thread.join();
        }
        record(
                "small requests that an engine ran and whose kept channel was closed unanswered: %d",
                mLost.get());
        record(
                "small requests unanswered at their route's timeout: %d; half a second later: %d",
                mUnanswered.get(), mLate.get());
        boolean lost = mLost.get() > LOST_ALLOWED;
        boolean late = mLate.get() > mUnanswered.get() / 2;
        record("LOST %s, CONFIG %s", lost ? "broken" : "held", late ? "broken" : "held");
        return lost || late ? BROKEN : HELD;
    }

    private void upload(Gateway gateway, int count, String name) throws InterruptedException {
        record("%d requesters upload %d bytes each at once", count, BODY_BYTES);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = name + "-" + i;
            threads.add(daemon("upload", () -> upload(gateway, id)));
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void upload(Gateway gateway, String id) {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        try (Caller caller = new Caller(gateway.front(), UPLOAD_DEADLINE_MS)) {
            String length = "Content-Length: " + body.length + "\r\n";
            caller.send(requestHead("POST", "/bobo563/" + id, id, UPLOAD_DEADLINE_MS, length));
            for (int sent = 0; sent < body.length; sent += UPLOAD_PART_BYTES) {
                int end = Math.min(body.length, sent + UPLOAD_PART_BYTES);
                caller.send(Arrays.copyOfRange(body, sent, end));
                sleep(UPLOAD_PAUSE_MILLIS);
            }
            Optional<Caller.Answer> answer = caller.receive("POST");
            record(
                    "uploads: %s is answered %s",
                    id, answer.map(whole -> "" + whole.status()).orElse("not: channel closed"));
        } catch (IOException e) {
            record("uploads: %s: %s", id, e);
        }
    }

    /** Sends one small request after the other on a kept channel. */
    private void sendSmall(Gateway gateway, int number) {
        for (int round = 0; !mEnd; round++) {
            try (Caller caller = new Caller(gateway.front(), SMALL_DEADLINE_MS + SLACK_MS)) {
                while (!mEnd && sendSmall(caller, "small-" + number + "-" + round)) {
                    round++;
                    sleep(20);
                }
            } catch (IOException e) {
                sleep(50);
            }
        }
    }

    /** Sends one request; returns whether the channel may be used again. */
    private boolean sendSmall(Caller caller, String id) throws IOException {
        caller.send(
                requestHead(
                        "POST", "/lowu77/" + id, id, SMALL_DEADLINE_MS, "Content-Length: 2\r\n")
                        + "ok");
        long sentAt = System.nanoTime();
        String outcome;
        boolean kept = false;
        try {
            Optional<Caller.Answer> answer = caller.receive("POST");
            long millis = (System.nanoTime() - sentAt) / 1_000_000;
            mUnanswered.addAndGet(millis > SMALL_DEADLINE_MS ? 1 : 0);
            outcome = answer.map(whole -> "" + whole.status()).orElse("not: channel closed");
            kept = answer.isPresent() && !answer.get().head().closes();
            if (answer.isEmpty() && mRun.contains(id)) {
                mLost.incrementAndGet();
            }
            if (answer.filter(whole -> whole.status() == 200).isPresent() && millis < 500) {
                return kept;
            }
            outcome += " after " + millis + " ms";
        } catch (SocketTimeoutException e) {
            mUnanswered.incrementAndGet();
            mLate.incrementAndGet();
            outcome = "not, half a second after its route's timeout";
        } catch (IOException e) {
            mLost.addAndGet(mRun.contains(id) ? 1 : 0);
            outcome = "not: " + e;
        }
        record("small: %s%s is answered %s", id, mRun.contains(id) ? " (run)" : "", outcome);
        return kept;
    }
}
