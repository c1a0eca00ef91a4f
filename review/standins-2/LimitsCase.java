import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Requesters keep channels open while a new desired state raises "max_body_bytes", and then send
 * bodies that only the new state allows.
 */
final class LimitsCase extends Case {

    private static final int CHANNELS = 20;
    private static final int OLD_LIMIT = 1 << 20;
    private static final int NEW_LIMIT = 4 << 20;
    private static final int BODY_BYTES = 2_000_000;
    private static final int DEADLINE_MS = 5000;
    private static final long CONFIG_APPLY_MILLIS = 2000;

    private LimitsCase(String[] args) throws IOException {
        super(args);
    }

    public static void main(String[] args) throws IOException {
        new LimitsCase(args).run();
    }

    @Override
    int play() throws Exception {
        String route = route("/bobo563/", "unsafe", DEADLINE_MS, 2);
        try (Platform platform = new Platform();
                Engine engine = new Engine(platform, "i-1", "wuno96b", LimitsCase::answer);
                Gateway gateway = new Gateway(repository, folder, "front-montevideo-1", platform)) {
            platform.put(
                    "keyed.op", "config", desiredState(7, trouble ? OLD_LIMIT : NEW_LIMIT, route));
            gateway.awaitReady();
            sleep(500);
            List<Caller> callers = new ArrayList<>();
            for (int i = 0; i < CHANNELS; i++) {
                callers.add(new Caller(gateway.front(), 2 * DEADLINE_MS));
                post(callers.get(i), "before-" + i, 600);
            }
            if (trouble) {
                platform.put("keyed.op", "config", desiredState(9, NEW_LIMIT, route));
                record("the store has acknowledged version 9: bodies of up to %d bytes", NEW_LIMIT);
            }
            sleep(CONFIG_APPLY_MILLIS + 3000);
            int denied = 0;
            for (int i = 0; i < CHANNELS; i++) {
                denied += post(callers.get(i), "kept-" + i, BODY_BYTES) / 100 == 4 ? 1 : 0;
                callers.get(i).close();
            }
            for (int i = 0; i < CHANNELS; i++) {
                try (Caller caller = new Caller(gateway.front(), 2 * DEADLINE_MS)) {
                    denied += post(caller, "new-" + i, BODY_BYTES) / 100 == 4 ? 1 : 0;
                }
            }
            record("proper requests that the gateway ended with a 4xx of its own: %d", denied);
            double allowed = 5 + 3 * CHANNELS / 500.0;
            return denied > allowed ? BROKEN : HELD;
        }
    }

    private static void answer(Engine.Call call) throws IOException {
        call.respond(200, ("result of " + call.id()).getBytes(StandardCharsets.UTF_8));
    }

    /** Sends one request; returns the status of the answer, 0 if there is none. */
    private int post(Caller caller, String id, int bytes) {
        byte[] body = new byte[bytes];
        Arrays.fill(body, (byte) 'x');
        try {
            String length = "Content-Length: " + bytes + "\r\n";
            caller.send(requestHead("POST", "/bobo563/" + id, id, DEADLINE_MS, length));
            // A requester whose answer comes before its body is sent reads it.
            Thread sender = daemon("body", () -> sendBody(caller, body));
            Optional<Caller.Answer> answer = caller.receive("POST");
            sender.join(1000);
            record(
                    "requesters: %s, %d bytes, is answered %s",
                    id,
                    bytes,
                    answer.map(whole -> whole.status() + " " + whole.text().strip())
                            .orElse("not: channel closed"));
            return answer.map(Caller.Answer::status).orElse(0);
        } catch (IOException | InterruptedException e) {
            record("requesters: %s: %s", id, e);
            return 0;
        }
    }

    private static void sendBody(Caller caller, byte[] body) {
        try {
            caller.send(body);
        } catch (IOException e) {
            // The gateway has closed the channel after its answer.
        }
    }
}
