package review;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What all cases have in common: folders, the record and the exit code. */
abstract class Case {
    static final String KEY = "9dnn2ctnfzs989anu6ws";
    static final String HOST = "jepu9.example";

    /** The service of lookups; the other routes lead to {@link #DESK}. */
    static final String LOOKUPS = "huvo11a";

    static final String DESK = "wuno96b";

    private static final long MAX_MS = 110_000;

    private final PrintStream mRecord;
    private final long mStart = System.nanoTime();
    final Path repository;
    final Path folder;
    final boolean trouble;

    Case(Path caseFolder) throws IOException {
        repository = Path.of("").toAbsolutePath();
        folder = Files.createTempDirectory("review");
        trouble = !"0".equals(System.getenv("TROUBLE"));
        mRecord = new PrintStream(Files.newOutputStream(caseFolder.resolve("record.txt")), true);
        log("trouble: " + (trouble ? "yes" : "no"));
    }

    /** Writes a line to the record and to standard output. */
    synchronized void log(String line) {
        System.out.println(note(line));
    }

    /** Writes a line to the record. */
    synchronized String note(String line) {
        String text = "%7.3f %s".formatted((System.nanoTime() - mStart) / 1e9, line);
        mRecord.println(text);
        return text;
    }

    /** Returns whether the rule held; throws if the case could not run. */
    abstract boolean run() throws Exception;

    static void main(Case instance) {
        endInTime(instance);
        int code = 2;
        try {
            boolean held = instance.run();
            instance.log(held ? "the rule held" : "the rule was broken");
            code = held ? 0 : 1;
        } catch (Exception e) {
            instance.log("the case could not run: " + e);
        }
        try (Stream<Path> files = Files.walk(instance.folder)) {
            if (System.getenv("KEEP") == null) {
                List<Path> all = files.sorted(Comparator.reverseOrder()).toList();
                for (Path file : all) {
                    Files.deleteIfExists(file);
                }
            } else {
                System.out.println("kept: " + instance.folder);
            }
        } catch (IOException e) {
            System.out.println("the temporary folder was not removed: " + e);
        }
        System.exit(code);
    }

    /** Ends a case that takes too long; the processes that it started end with it. */
    private static void endInTime(Case instance) {
        Thread watchdog =
                new Thread(
                        () -> {
                            try {
                                Thread.sleep(MAX_MS);
                            } catch (InterruptedException e) {
                                return;
                            }
                            instance.log("the case could not run: it did not end in time");
                            System.exit(2);
                        });
        watchdog.setDaemon(true);
        watchdog.start();
    }

    /** A desired state of three routes and two services, in the form that PROTOCOL.md names. */
    static String config(int version, long maxBodyBytes) {
        return """
                {"version":%d,"routes":[
                {"name":"r-lookup","hostname":"%s","path_prefix":"/lookup/","kind":"safe","timeout_ms":10000,"target_latency_ms":1000,"priority":2,"service":"%s","max_attempts":2,"stages":[],"public":false,"sticky":false,"can_resume":false},
                {"name":"r-draft","hostname":"%s","path_prefix":"/draft/","kind":"streaming","timeout_ms":6000,"target_latency_ms":5000,"priority":1,"service":"wuno96b","max_attempts":1,"stages":[],"public":false,"sticky":false,"can_resume":false},
                {"name":"r-order","hostname":"%s","path_prefix":"/order/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"priority":2,"service":"wuno96b","max_attempts":1,"stages":[],"public":false,"sticky":false,"can_resume":false}],
                "services":[{"name":"huvo11a","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0},{"name":"wuno96b","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0}],
                "limits":{"header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000},
                "tenants":[{"name":"bozi300","api_keys":["%s"],"priority":1}]}
                """.formatted(version, HOST, LOOKUPS, HOST, HOST, maxBodyBytes, KEY);
    }

    static String head(String method, String path, String id, long deadlineMs, int bodyBytes) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Boragethread-Request-Id: " + id
                + "\r\nX-Boragethread-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Token " + KEY + "\r\n"
                + (bodyBytes < 0 ? "" : "Content-Length: " + bodyBytes + "\r\n") + "\r\n";
    }
}
