import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs one case, writes what was sent, answered and run, and exits with its result. */
abstract class Case {

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    static final String HOST = "pule25.example";
    static final String KEY = "9dnn2ctnfzs989anu6ws";

    private final long mStart = System.nanoTime();
    private final PrintWriter mRecord;
    final Path repository;
    final Path folder;
    final boolean trouble;

    /** Creates a case; the arguments are the repository and the folder of the case. */
    Case(String[] args) throws IOException {
        repository = Path.of(args[0]);
        mRecord =
                new PrintWriter(
                        Files.newBufferedWriter(
                                Path.of(args[1]).resolve("record.txt"), StandardCharsets.UTF_8));
        folder = Files.createTempDirectory("review-2-");
        trouble = !"0".equals(System.getenv("TROUBLE"));
        record("TROUBLE=%d", trouble ? 1 : 0);
    }

    /** Plays the case; returns {@link #HELD} or {@link #BROKEN}. */
    abstract int play() throws Exception;

    /** Plays the case and ends this process with the result. */
    final void run() {
        int result;
        try {
            result = play();
        } catch (Exception e) {
            record("the case could not run: %s", e);
            result = NOT_RUN;
        }
        record("result: %s", result == HELD ? "held" : result == BROKEN ? "broken" : "not run");
        mRecord.close();
        delete(folder);
        System.exit(result);
    }

    private static void delete(Path folder) {
        if (System.getenv("KEEP") != null) {
            System.err.println(folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            System.err.println(e);
        }
    }

    /** Writes a line with the seconds since the start. */
    final synchronized void record(String format, Object... values) {
        double seconds = (System.nanoTime() - mStart) / 1e9;
        String line = "%7.3f  %s".formatted(seconds, format.formatted(values));
        mRecord.println(line);
        mRecord.flush();
        System.out.println(line);
    }

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns a desired state with one service, "wuno96b", and the given routes. */
    static String desiredState(int version, int maxBodyBytes, String... routes) {
        return """
                {"version":%d,"routes":[%s],"services":[{"name":"wuno96b","health_path":"/health",\
                "max_conns":110,"protocol":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0}],\
                "limits":{"header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,\
                "idle_timeout_ms":15000},\
                "tenants":[{"name":"bozi300","api_keys":["%s"],"priority":1}]}"""
                .formatted(version, String.join(",", routes), maxBodyBytes, KEY);
    }

    /** Returns a route of the service. */
    static String route(String prefix, String kind, int timeoutMs, int maxAttempts) {
        return """
                {"name":"r-%s","hostname":"%s","path_prefix":"%s","kind":"%s","timeout_ms":%d,\
                "target_latency_ms":1000,"priority":1,"service":"wuno96b","max_attempts":%d,\
                "public":false,"sticky":false,"can_resume":false}"""
                .formatted(
                        prefix.replace("/", ""), HOST, prefix, kind, timeoutMs, maxAttempts);
    }

    /** Returns the head of a request with a key. */
    static String requestHead(String method, String path, String id, int deadlineMs, String more) {
        return ("%s %s HTTP/1.1\r\nHost: %s\r\nX-Boragethread-Request-Id: %s\r\n"
                        + "X-Boragethread-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%s\r\n")
                .formatted(method, path, HOST, id, deadlineMs, KEY, more);
    }
}
