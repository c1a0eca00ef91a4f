import java.util.Map;
import java.util.TreeMap;

/** Engines that read their requests slowly; callers of others are not answered in time. */
final class SlowEngines {
    private static final int CALLERS = 60;
    private static final int REQUEST_BYTES = 4_000_000;

    /** Bytes a second that the slow engine reads on each channel. */
    private static final int SLOW_RATE = 50_000;

    public static void main(String[] args) throws Exception {
        Lab.main(args, SlowEngines::play);
    }

    private static boolean play(Lab lab) throws Exception {
        Lab.Engine sound = lab.engine("s2", "sound");
        Lab.Engine slow = lab.engine("s1", "slow");
        lab.putConfig(Lab.config(1,
                Lab.route("uploads", "/uploads/", "unsafe", "s1", ",\"timeout_ms\":30000") + ","
                        + Lab.route("small", "/a/", "safe", "s2",
                                ",\"timeout_ms\":" + Small.TIMEOUT_MS),
                "s1", "s2"));
        slow.beat("ready");
        sound.beat("ready");
        Lab.Entry entry = lab.entry("entry-1");
        if (!entry.awaitReady(30)) {
            throw new IllegalStateException("the entry is not ready: " + entry.tail(20));
        }
        Thread.sleep(1500);
        Small small = new Small(lab, entry, 10);
        if (Lab.trouble()) {
            slow.mReadRate = SLOW_RATE;
        }
        byte[] body = new byte[REQUEST_BYTES];
        Map<String, Integer> outcomes = new TreeMap<>();
        for (int i = 0; i < CALLERS; i++) {
            String id = "upload-" + i;
            Lab.daemon(id, () -> {
                String outcome;
                try (Lab.Caller caller = entry.caller()) {
                    caller.send(Lab.Caller.head("POST", "/uploads/x", id, body.length));
                    caller.mOut.write(body);
                    Lab.Message answer = caller.read(35000, false);
                    outcome = answer == null ? "closed without an answer" : answer.first;
                } catch (java.io.IOException e) {
                    outcome = e.toString();
                }
                lab.note("%s: %s, runs %d", id, outcome, slow.runs(id));
                synchronized (outcomes) {
                    outcomes.merge(outcome, 1, Integer::sum);
                }
            });
            Thread.sleep(100);
        }
        for (int second = 1; second <= 25; second++) {
            Thread.sleep(1000);
            if (second % 5 == 0) {
                lab.note("entry alive: %s, readiness: %d", entry.mProcess.isAlive(),
                        entry.ready());
            }
        }
        synchronized (outcomes) {
            lab.note("uploads: %s", outcomes);
        }
        boolean broken = small.isBroken();
        entry.noteErrors();
        return broken;
    }
}
