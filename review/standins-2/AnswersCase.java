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
 * Requesters fetch answers of 240 kB, of which engines write the last part after three seconds. For
 * a few seconds 2.4 times as many do so (a burst). Afterwards there are ten of them.
 */
final class AnswersCase extends Case {

    private static final int USUAL_REQUESTS = 200;
    private static final int BURST_REQUESTS = 480;
    private static final int REQUESTS_EACH = 3;
    private static final int ANSWER_BYTES = 240_000;
    private static final int LAST_PART_BYTES = 1000;
    private static final long LAST_PART_MILLIS = 3000;
    private static final long SPREAD_MILLIS = 1500;

    /** The longest burst of the site's standard days. */
    private static final long SEND_MILLIS = 7000;

    private static final int TIMEOUT_MS = 8000;
    private static final int SLACK_MS = 500;

    /** The bound `recovery_s` of the site. */
    private static final long RECOVERY_MILLIS = 12_000;

    private static final int LATER_REQUESTS = 10;

    private final Set<String> mRun = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mUnanswered = new AtomicInteger();
    private final AtomicInteger mLate = new AtomicInteger();
    private final AtomicInteger mServed = new AtomicInteger();

    private AnswersCase(String[] args) throws IOException {
        super(args);
    }

    public static void main(String[] args) throws IOException {
        new AnswersCase(args).run();
    }

    @Override
    int play() throws Exception {
        try (Platform platform = new Platform();
                Engine first = new Engine(platform, "i-1", "wuno96b", this::answer);
                Engine second = new Engine(platform, "i-2", "wuno96b", this::answer);
                Engine third = new Engine(platform, "i-3", "wuno96b", this::answer);
                Engine fourth = new Engine(platform, "i-4", "wuno96b", this::answer);
                Gateway gateway = new Gateway(repository, folder, "front-montevideo-1", platform)) {
            platform.put(
                    "keyed.op",
                    "config",
                    desiredState(7, 4194304, route("/wuhu344/", "safe", TIMEOUT_MS, 2)));
            gateway.awaitReady();
            sleep(1000);
            return play(gateway);
        }
    }

    /** Writes the answer as it is made. */
    private void answer(Engine.Call call) throws IOException, InterruptedException {
        mRun.add(call.id());
        byte[] answer = new byte[ANSWER_BYTES];
        Arrays.fill(answer, (byte) 'x');
        String length = "Content-Length: " + ANSWER_BYTES + "\r\n";
        call.out.write(call.sealedHead(200, length).getBytes(StandardCharsets.ISO_8859_1));
        call.out.write(answer, 0, ANSWER_BYTES - LAST_PART_BYTES);
        call.out.flush();
        Thread.sleep(LAST_PART_MILLIS);
        call.out.write(answer, ANSWER_BYTES - LAST_PART_BYTES, LAST_PART_BYTES);
        call.out.flush();
    }

    private int play(Gateway gateway) throws Exception {
        sendAll(gateway, USUAL_REQUESTS, "usual");
        sendAll(gateway, trouble ? BURST_REQUESTS : USUAL_REQUESTS, "burst");
        sleep(RECOVERY_MILLIS);
        record(
                "%d ms later: the gateway's process is %s, and says that it is %s",
                RECOVERY_MILLIS,
                gateway.isAlive() ? "alive" : "gone",
                gateway.isReady() ? "ready" : "not ready, or nothing");
        sendAll(gateway, LATER_REQUESTS, "later");
        boolean late = mLate.get() > mUnanswered.get() / 2;
        record(
                "requests that ran and are unanswered at their route's timeout: %d; half a second"
                        + " later: %d",
                mUnanswered.get(), mLate.get());
        record("CONFIG %s", late ? "broken" : "held");
        return late ? BROKEN : HELD;
    }

    private void sendAll(Gateway gateway, int count, String name) throws InterruptedException {
        mServed.set(0);
        record(
                "%s: %d requesters send %d requests each, none later than %d ms",
                name, count, REQUESTS_EACH, SEND_MILLIS);
        long end = System.nanoTime() + SEND_MILLIS * 1_000_000;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = name + "-" + i;
            long delay = SPREAD_MILLIS * i / count;
            threads.add(
                    daemon(
                            "requester",
                            () -> {
                                sleep(delay);
                                for (int k = 0; k < REQUESTS_EACH; k++) {
                                    if (System.nanoTime() < end) {
                                        send(gateway, id + "-" + k);
                                    }
                                }
                            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        record("%s: %d are answered 200", name, mServed.get());
    }

    private void send(Gateway gateway, String id) {
        long sentAt = System.nanoTime();
        String outcome;
        try (Caller caller = new Caller(gateway.front(), TIMEOUT_MS + SLACK_MS)) {
            caller.send(requestHead("GET", "/wuhu344/" + id, id, TIMEOUT_MS, ""));
            Optional<Caller.Answer> answer = caller.receive("GET");
            long millis = (System.nanoTime() - sentAt) / 1_000_000;
            mUnanswered.addAndGet(millis > TIMEOUT_MS && mRun.contains(id) ? 1 : 0);
            if (answer.filter(whole -> whole.body().length == ANSWER_BYTES).isPresent()) {
                mServed.incrementAndGet();
                return;
            }
            outcome = answer.map(whole -> "" + whole.status()).orElse("not: channel closed");
        } catch (SocketTimeoutException e) {
            // A requester abandons one that the gateway has not read, so these don't count.
            mUnanswered.addAndGet(mRun.contains(id) ? 1 : 0);
            mLate.addAndGet(mRun.contains(id) ? 1 : 0);
            outcome = "not, half a second after its route's timeout";
        } catch (IOException e) {
            outcome = "not: " + e;
        }
        record("%s%s is answered %s", id, mRun.contains(id) ? " (run)" : "", outcome);
    }
}
