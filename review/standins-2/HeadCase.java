import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters send HEAD and GET requests by turns on kept channels of a safe route. The platform's
 * store is down for some seconds, and then serves again.
 */
final class HeadCase extends Case {

    private static final int CHANNELS = 4;
    private static final int DEADLINE_MS = 1000;

    /** The longest outage of the site's standard days: "busy", for 8.0 s. */
    private static final long DOWN_MILLIS = 8000;

    private final AtomicInteger mMixed = new AtomicInteger();
    private volatile boolean mEnd;

    private HeadCase(String[] args) throws IOException {
        super(args);
    }

    public static void main(String[] args) throws IOException {
        new HeadCase(args).run();
    }

    @Override
    int play() throws Exception {
        try (Platform platform = new Platform();
                Engine engine = new Engine(platform, "i-1", "wuno96b", HeadCase::answer);
                Gateway gateway = new Gateway(repository, folder, "front-montevideo-1", platform)) {
            platform.put(
                    "keyed.op",
                    "config",
                    desiredState(7, 4194304, route("/wuhu344/", "safe", DEADLINE_MS, 2)));
            gateway.awaitReady();
            Thread[] requesters = new Thread[CHANNELS];
            for (int i = 0; i < CHANNELS; i++) {
                int number = i;
                requesters[i] = daemon("requester", () -> send(gateway, number));
            }
            sleep(3000);
            if (trouble) {
                platform.setDown(true);
                record("the store answers every call with 503");
            }
            sleep(DOWN_MILLIS);
            if (trouble) {
                platform.setDown(false);
                record("the store serves again");
            }
            sleep(3000);
            mEnd = true;
            for (Thread requester : requesters) {
                requester.join();
            }
            record("channels on which bytes came that are no answer: %d", mMixed.get());
            return mMixed.get() == 0 ? HELD : BROKEN;
        }
    }

    private static void answer(Engine.Call call) throws IOException {
        call.respond(200, ("result of " + call.id()).getBytes(StandardCharsets.UTF_8));
    }

    /** Sends requests on one channel after the other until the end. */
    private void send(Gateway gateway, int number) {
        for (int round = 0; !mEnd; ) {
            try (Caller caller = new Caller(gateway.front(), 3 * DEADLINE_MS)) {
                boolean kept = true;
                while (!mEnd && kept) {
                    kept = send(caller, round % 2 == 0 ? "HEAD" : "GET", number + "-" + round);
                    round++;
                    sleep(200);
                }
            } catch (Http.NotHttpException e) {
                mMixed.incrementAndGet();
                record("requesters: bytes that are no answer after %d-%d: %s",
                        number, round - 1, e.getMessage());
                round++;
            } catch (IOException e) {
                record("requesters: %d-%d: %s", number, round, e);
                round++;
            }
        }
    }

    /** Sends one request; returns whether the channel may be used again. */
    private boolean send(Caller caller, String method, String id) throws IOException {
        caller.send(requestHead(method, "/wuhu344/" + id, id, DEADLINE_MS, ""));
        Optional<Caller.Answer> answer = caller.receive(method);
        record(
                "requesters: %s %s is answered %s",
                method, id, answer.map(whole -> "" + whole.status()).orElse("not: channel closed"));
        return answer.filter(whole -> !whole.head().closes()).isPresent();
    }
}
