import java.util.ArrayList;
import java.util.List;

/** An entry that starts after the store came back from a copy takes a key that was taken away. */
final class OlderCopy {

    /** Bound of the rule, from the settings of the entries. */
    private static final long REVOKE_MS = 5000;

    public static void main(String[] args) throws Exception {
        Lab.main(args, OlderCopy::play);
    }

    private static boolean play(Lab lab) throws Exception {
        Lab.Engine engine = lab.engine("s1", "engine-1");
        String route = Lab.route("lookup", "/a/", "safe", "s1", ",\"timeout_ms\":3000");
        lab.putConfig(Lab.config(1, route, "s1").replace("\"key-1\"", "\"key-1\",\"key-2\""));
        Lab.daemon("beats", () -> {
            while (true) {
                engine.beat("ready");
                Thread.sleep(1200);
            }
        });
        List<Lab.Entry> entries = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            entries.add(lab.entry("entry-" + i));
        }
        for (Lab.Entry entry : entries) {
            if (!entry.awaitReady(30)) {
                throw new IllegalStateException("the entry is not ready: " + entry.tail(20));
            }
        }
        Thread.sleep(2000);
        lab.mStore.copyRecords();
        Thread.sleep(500);
        String without = Lab.config(2, route, "s1");
        lab.putConfig(without);
        long acknowledged = System.nanoTime();
        lab.note("version 2, which takes key-2 away, is acknowledged");
        Thread.sleep(6000);
        Lab.Entry last = entries.get(2);
        if (Lab.trouble()) {
            lab.mStore.goAway();
            Thread.sleep(300);
            lab.mStore.comeBackFromCopy();
            lab.note("the store is back from a copy of before version 2");
            last.signal("KILL");
            last.mProcess.waitFor();
            last.launch();
        }
        List<String> late = new ArrayList<>();
        long end = System.nanoTime() + 4_000_000_000L;
        boolean written = false;
        for (int i = 0; System.nanoTime() < end; i++) {
            if (Lab.trouble() && !written && end - System.nanoTime() < 1_500_000_000L) {
                lab.putConfig(without);
                lab.note("the operator has written version 2 again");
                written = true;
            }
            for (Lab.Entry entry : entries) {
                String id = "late-" + entry.mName + "-" + i;
                if (System.nanoTime() - acknowledged > REVOKE_MS * 1_000_000L) {
                    late.add(id);
                }
                try (Lab.Caller caller = entry.caller()) {
                    caller.send(Lab.Caller.head("GET", "/a/x", id, -1).replace("key-1", "key-2"));
                    Lab.Message answer = caller.read(3000, false);
                    lab.note("%s: %s", id, answer == null ? "closed" : answer.first);
                } catch (java.io.IOException e) {
                    lab.note("%s: %s", id, e);
                }
            }
            Thread.sleep(100);
        }
        long ran = late.stream().filter(id -> engine.runs(id) > 0).count();
        lab.note("requests with key-2 that were sent more than %d ms after the acknowledgement: %d,"
                + " of which ran: %d", REVOKE_MS, late.size(), ran);
        return ran > 0;
    }
}
