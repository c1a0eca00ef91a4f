import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Responses that callers read for longer than the idle time-out are cut off. */
final class IdleCut {
    private static final int CALLERS = 220;
    private static final int SMALLEST = 2_780_000;
    private static final int STEP = 4_000;

    private static final byte[] PART = new byte[64 * 1024];

    /** Time for which callers read slowly. */
    private static final long SLOW_NANOS = 45_000_000_000L;

    public static void main(String[] args) throws Exception {
        Lab.main(args, IdleCut::play);
    }

    private static boolean play(Lab lab) throws Exception {
        Arrays.fill(PART, (byte) 'x');
        List<Lab.Engine> engines = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            engines.add(lab.engine("s1", "engine-" + i));
        }
        lab.putConfig(Lab.config(1,
                Lab.route("files", "/files/", "safe", "s1", ",\"timeout_ms\":60000"), "s1"));
        Lab.Work work = (e, request, out) -> {
            int size = Integer.parseInt(request.first.split("[ /]")[3]);
            out.write(e.head(request, 200, size).getBytes());
            for (int sent = 0; sent < size; sent += PART.length) {
                out.write(PART, 0, Math.min(PART.length, size - sent));
            }
            lab.note("engine has sent %s", request.id());
        };
        for (Lab.Engine engine : engines) {
            engine.work = work;
            engine.beat("ready");
        }
        Lab.Entry entry = lab.entry("entry-1");
        if (!entry.awaitReady(30)) {
            throw new IllegalStateException("the entry is not ready: " + entry.tail(20));
        }
        Thread.sleep(1500);
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger whole = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int size = SMALLEST + i * STEP;
            String id = "file-" + size;
            threads.add(Lab.daemon(id, () -> {
                int length = 0;
                String end = "";
                try (Lab.Caller caller = entry.caller(4096)) {
                    caller.send(Lab.Caller.head("GET", "/files/10", "first-" + id, -1));
                    caller.read(5000, false);
                    caller.send(Lab.Caller.head("GET", "/files/" + size, id, -1));
                    caller.mSocket.setSoTimeout(30000);
                    Lab.Message head = Lab.readHead(caller.mIn);
                    if (head == null || head.status() != 200) {
                        lab.note("%s: %s", id, head == null ? "closed" : head.first);
                        return;
                    }
                    long slowUntil = System.nanoTime() + SLOW_NANOS;
                    byte[] bytes = new byte[65536];
                    while (length < size) {
                        boolean slow = Lab.trouble() && System.nanoTime() < slowUntil;
                        int count = caller.mIn.read(bytes, 0, slow ? 1000 : bytes.length);
                        if (count < 0) {
                            end = "the channel was closed";
                            break;
                        }
                        length += count;
                        if (slow) {
                            Thread.sleep(50);
                        }
                    }
                } catch (java.io.IOException e) {
                    end = e.toString();
                }
                if (length == size) {
                    whole.incrementAndGet();
                } else {
                    cut.incrementAndGet();
                    lab.note("%s: %d of %d bytes, %s", id, length, size, end);
                }
            }));
            Thread.sleep(20);
        }
        for (Thread thread : threads) {
            thread.join(60_000);
        }
        lab.note("answers read whole: %d, cut: %d", whole.get(), cut.get());
        return cut.get() > 3;
    }
}
