import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that read their responses slowly; others are not answered any more. */
final class SlowReaders {
    private static final int CALLERS = 400;
    private static final int RESPONSE_BYTES = 5_000_000;

    public static void main(String[] args) throws Exception {
        Lab.main(args, SlowReaders::play);
    }

    private static boolean play(Lab lab) throws Exception {
        Lab.Engine sound = lab.engine("s2", "sound");
        List<Lab.Engine> engines = new ArrayList<>();
        for (int i = 1; i <= 9; i++) {
            engines.add(lab.engine("s1", "files-" + i));
        }
        lab.putConfig(Lab.config(1,
                Lab.route("files", "/files/", "safe", "s1", ",\"timeout_ms\":60000") + ","
                        + Lab.route("small", "/a/", "safe", "s2",
                                ",\"timeout_ms\":" + Small.TIMEOUT_MS),
                "s1", "s2"));
        byte[] body = new byte[RESPONSE_BYTES];
        Arrays.fill(body, (byte) 'x');
        for (Lab.Engine engine : engines) {
            engine.work = (e, request, out) -> {
                out.write(e.head(request, 200, body.length).getBytes());
                out.write(body);
            };
            engine.beat("ready");
        }
        sound.beat("ready");
        Lab.Entry entry = lab.entry("entry-1");
        if (!entry.awaitReady(30)) {
            throw new IllegalStateException("the entry is not ready: " + entry.tail(20));
        }
        Thread.sleep(1500);
        Small small = new Small(lab, entry, 10);
        AtomicInteger whole = new AtomicInteger();
        for (int i = 0; i < CALLERS; i++) {
            String id = "file-" + i;
            Lab.daemon(id, () -> {
                try (Lab.Caller caller = entry.caller(4096)) {
                    caller.send(Lab.Caller.head("GET", "/files/x", id, -1));
                    int length = 0;
                    byte[] bytes = new byte[65536];
                    while (Lab.trouble()) {
                        // Ten kilobytes a second.
                        int count = caller.mIn.read(bytes, 0, 1024);
                        if (count < 0) {
                            lab.note("%s: the channel was closed after %d bytes", id, length);
                            return;
                        }
                        length += count;
                        Thread.sleep(100);
                    }
                    Lab.Message answer = caller.read(30000, false);
                    if (answer != null && answer.status() == 200
                            && answer.body.length == RESPONSE_BYTES) {
                        whole.incrementAndGet();
                    } else {
                        lab.note("%s: %s", id, answer == null ? "closed" : answer.first);
                    }
                }
            });
            Thread.sleep(40);
        }
        for (int second = 1; second <= 15; second++) {
            Thread.sleep(1000);
            if (second % 5 == 0) {
                lab.note("entry alive: %s, readiness: %d", entry.mProcess.isAlive(),
                        entry.ready());
            }
        }
        int started = 0;
        for (Lab.Engine engine : engines) {
            started += engine.mRuns.size();
        }
        lab.note("requests for files that reached an engine: %d, read to their end: %d", started,
                whole.get());
        boolean broken = small.isBroken();
        entry.noteErrors();
        return broken;
    }
}
