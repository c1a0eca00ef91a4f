import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requesters send safe requests one after the other on kept channels without waiting for the answer
 * (HTTP pipelining). The gateway freezes for a moment and wakes again. On some channels the
 * third request arrives meanwhile, on the others a part of the second one's body.
 */
final class PipelinedCase extends Case {

    private static final int CHANNELS = 8;
    private static final int DEADLINE_MS = 20_000;
    private static final long FREEZE_MILLIS = 900;

    private final AtomicInteger mChanged = new AtomicInteger();

    private PipelinedCase(String[] args) throws IOException {
        super(args);
    }

    public static void main(String[] args) throws IOException {
        new PipelinedCase(args).run();
    }

    @Override
    int play() throws Exception {
        try (Platform platform = new Platform();
                Engine engine = new Engine(platform, "i-1", "wuno96b", this::answer);
                Gateway gateway = new Gateway(repository, folder, "front-montevideo-1", platform)) {
            platform.put(
                    "keyed.op",
                    "config",
                    desiredState(7, 4194304, route("/wuhu344/", "safe", 20_000, 2)));
            gateway.awaitReady();
            sleep(1000);
            return play(gateway);
        }
    }

    /** The engine is full for the first request of each channel, and tells so after a while. */
    private void answer(Engine.Call call) throws IOException, InterruptedException {
        record("engine: %s arrives", call.id());
        if (call.id().endsWith("-1")) {
            Thread.sleep(300);
            call.shed();
            record("engine: %s is answered 503, not executed", call.id());
            return;
        }
        if (call.head.method().equals("POST")) {
            String body = new String(call.body, StandardCharsets.UTF_8);
            boolean changed = !body.equals(body(call.id()));
            record(
                    "engine: %s runs with a body of %d bytes%s",
                    call.id(), body.length(), changed ? ", not the requester's" : "");
            if (changed) {
                mChanged.incrementAndGet();
            }
        }
        Thread.sleep(50);
        call.respond(200, ("result of " + call.id()).getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the body of a request: three parts of the same length. */
    private static String body(String id) {
        return part(id, "a") + part(id, "b") + part(id, "c");
    }

    private static String part(String id, String name) {
        return (id + name + ",").repeat(50);
    }

    private int play(Gateway gateway) throws Exception {
        List<Caller> callers = new ArrayList<>();
        for (int i = 0; i < CHANNELS; i++) {
            Caller caller = new Caller(gateway.front(), DEADLINE_MS);
            callers.add(caller);
            caller.send(get(i, 1) + (hasBody(i) ? postHead(i) + part(id(i, 2), "a") : get(i, 2)));
        }
        record("requesters: the first two requests of each of %d channels are sent", CHANNELS);
        record("requesters: on each other channel the second one's body has two more parts");
        sleep(150);
        if (trouble) {
            gateway.signal("STOP");
            record("the gateway freezes");
        }
        sleep(600);
        for (int i = 0; i < CHANNELS; i++) {
            callers.get(i).send(hasBody(i) ? part(id(i, 2), "b") : get(i, 3));
        }
        record("requesters: the third requests, or the second parts of the bodies, are sent");
        if (trouble) {
            sleep(FREEZE_MILLIS - 600);
            gateway.signal("CONT");
            record("the gateway wakes");
        }
        sleep(500);
        for (int i = 0; i < CHANNELS; i++) {
            if (hasBody(i)) {
                callers.get(i).send(part(id(i, 2), "c"));
            }
        }
        record("requesters: the third parts of the bodies are sent");
        int foreign = 0;
        for (int i = 0; i < CHANNELS; i++) {
            for (int number = 1; number <= (hasBody(i) ? 2 : 3); number++) {
                foreign += isForeign(callers.get(i), i, number) ? 1 : 0;
            }
            callers.get(i).close();
        }
        record("MIXED: answers that belong to another request: %d", foreign);
        record("UNASKED: requests that ran with another body: %d", mChanged.get());
        return foreign == 0 && mChanged.get() == 0 ? HELD : BROKEN;
    }

    private static boolean hasBody(int channel) {
        return channel % 2 == 1;
    }

    private static String postHead(int channel) {
        String id = id(channel, 2);
        String length = "Content-Length: " + body(id).length() + "\r\n";
        return requestHead("POST", "/wuhu344/" + id, id, DEADLINE_MS, length);
    }

    private static String id(int channel, int number) {
        return "req-%d-%d".formatted(channel, number);
    }

    private static String get(int channel, int number) {
        String id = id(channel, number);
        return requestHead("GET", "/wuhu344/" + id, id, DEADLINE_MS, "");
    }

    /** Reads the next answer of a channel: answers come in the order of the requests. */
    private boolean isForeign(Caller caller, int channel, int number) throws IOException {
        String expected = id(channel, number);
        Optional<Caller.Answer> answer = caller.receive("GET");
        if (answer.isEmpty()) {
            record("requesters: the channel of %s is closed", expected);
            return false;
        }
        record(
                "requesters: the answer to %s is %d, of request \"%s\": %s",
                expected, answer.get().status(), answer.get().id(), answer.get().text().strip());
        return answer.get().status() == 200
                && (!answer.get().id().equals(expected)
                        || !answer.get().text().equals("result of " + expected));
    }
}
