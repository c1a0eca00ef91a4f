package org.boragethread.entry.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.boragethread.core.configcheck.Field;
import org.boragethread.core.configcheck.Place;
import org.boragethread.platform.store.ConfigDocument;
import org.boragethread.platform.store.ConfigPaths;
import org.boragethread.process.command.CommandLine;
import org.boragethread.process.command.ExitCode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link CheckConfigCommand} and the rules behind it. */
public class CheckConfigCommandTest {

    private static final String SECRET = "sk_7d1f0c93aa20";

    private static final String VALID =
            """
            {"version":7,"new_field":{"a":1},"routes":[
            {"name":"r0","hostname":"Host.Example","path_prefix":"/a/","kind":"streaming",
             "timeout_ms":6000,"target_latency_ms":1900,"max_attempts":2,"priority":1,
             "traffic_split":[{"service":"s0","weight":90},{"service":"s1","weight":10}],
             "stages":[{"service":"s2","after":[],"bytes":8000},
                       {"service":"s2","after":[0],"bytes":100}],
             "sticky":true,"can_resume":true},
            {"name":"r1","hostname":"host.example","path_prefix":"/","kind":"safe","public":true,
             "service":"s1"}],
            "services":[{"name":"s0","max_conns":20,"engine":{"slots":8,"kv_capacity":9000}},
            {"name":"s1","cold_s":3.0,"cold_per_s":6.3},
            {"name":"s2","max_conns":370,"pieces":{"slots":1,"queue":2,"batch":6,"call_ms":150.0,
             "item_ms":21.5,"headroom_mb":27.0,"handle_s":4.0}}],
            "limits":{"header_bytes":16384,"max_body_bytes":4194304},
            "tenants":[{"name":"t0","api_keys":["sk_7d1f0c93aa20","k2"],"priority":1}]}""";

    /** Rows of the table of faults: what is replaced in the valid document, and the findings. */
    @DataProvider
    private static Object[][] faults() throws IOException {
        try (InputStream table =
                CheckConfigCommandTest.class.getResourceAsStream("/check-config-faults.txt")) {
            return new String(table.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> !line.startsWith("#"))
                    .map(line -> Arrays.copyOf(line.split(" \\| ", -1), 5))
                    .toArray(Object[][]::new);
        }
    }

    @Test(dataProvider = "faults")
    public void faultIsFoundAndNothingElse(
            String fault, String from, String to, String expected, String message) {
        assertTrue(from.equals("*") || VALID.contains(from), fault);
        ConfigReport report = report(from.equals("*") ? to : VALID.replace(from, to));
        List<String> found =
                report.findings().stream()
                        .map(finding -> finding.rule() + " " + finding.place())
                        .toList();
        List<String> none = List.of();
        assertEquals(found, expected.equals("none") ? none : List.of(expected.split("; ")), fault);
        assertTrue(message == null || report.toText().contains(message), report.toText());
        assertHidesSecret(report.toText() + report.toJson());
    }

    /** Guards against a secret in a report, of which at most the first three characters may be. */
    private static void assertHidesSecret(String text) {
        for (int i = 3; i + 4 <= SECRET.length(); i++) {
            assertFalse(text.contains(SECRET.substring(i, i + 4)), text);
        }
    }

    private static ConfigReport report(String document) {
        ConfigDocument read = ConfigDocument.read(document.getBytes(StandardCharsets.UTF_8));
        return ConfigReport.create(read, Optional.empty());
    }

    // Guards against findings about a document that is as it should be.
    @Test
    public void validDocumentHasNoFindings() {
        assertEquals(report(VALID).findings(), List.of());
    }

    /** Documents in force, and those that are checked, with the exit codes. */
    @DataProvider
    private static Object[][] runs() {
        String changed =
                VALID.replace("\"version\":7", "\"version\":8")
                        .replace("\"k2\"", "\"k3\"")
                        .replace("1900", "1800");
        String noSecret = changed.replace(SECRET, "k4");
        String ordered = withRoutes("a h1", "b h1");
        String reordered = withRoutes("b h1", "a h1");
        return new Object[][] {
            {VALID, noSecret, ExitCode.OK, "removed key sk_... of tenant t0"},
            {noSecret.replace(":8", ":6"), VALID, ExitCode.OK, "added key sk_... of tenant t0"},
            {ordered, reordered, ExitCode.FAILED, "version 7 is not newer than version 7 in force"},
            {ordered, reordered, ExitCode.FAILED, "changed first route of h1/ name: a -> b"},
            {
                withRoutes("a h1", "a h2", "a (2) h3"),
                withRoutes("a h1", "a h4", "a (2) h3"),
                ExitCode.FAILED,
                "changed route a (2) hostname: h2 -> h4"
            },
            {VALID, changed, ExitCode.OK, "target_latency_ms: 1900.0 ms -> 1800.0 ms"},
            {VALID, changed, ExitCode.OK, "added key ... of tenant t0"},
            {VALID, VALID, ExitCode.OK, "0 findings, 0 differences"},
            {changed, VALID, ExitCode.FAILED, "version 7 is not newer than version 8 in force"},
            {VALID, "{\"version\":8", ExitCode.FAILED, "line 1, column 13"},
            {"{}", VALID, ExitCode.USAGE, "gateways reject"},
            {VALID, null, ExitCode.USAGE, "cannot read"},
        };
    }

    /** Returns the valid document with further routes, given by name and host. */
    private static String withRoutes(String... routes) {
        StringBuilder added = new StringBuilder("\"routes\":[");
        for (String route : routes) {
            int space = route.lastIndexOf(' ');
            added.append("{\"name\":\"%s\",".formatted(route.substring(0, space)))
                    .append("\"hostname\":\"%s\",".formatted(route.substring(space + 1)))
                    .append("\"path_prefix\":\"/\",\"kind\":\"safe\",\"service\":\"s1\"},");
        }
        return VALID.replace("\"routes\":[", added);
    }

    // Guards against costs that grow with the square of the number of routes and services.
    @Test(timeOut = 20_000)
    public void largeDocumentIsCheckedInTime() {
        StringBuilder services = new StringBuilder("\"services\":[");
        String[] routes = new String[20_000];
        for (int i = 0; i < routes.length; i++) {
            routes[i] = "r" + i + " h" + i;
            services.append("{\"name\":\"x%d\"},".formatted(i));
        }
        String document = withRoutes(routes).replace("\"services\":[", services);
        assertEquals(report(document).findings().size(), routes.length);
    }

    // Guards against an exit code that says that there are findings, or none.
    @Test
    public void internalErrorHasAnExitCodeOfItsOwn() throws IOException {
        Path file = Files.writeString(Files.createTempFile("check-config", ".json"), VALID);
        PrintStream failing =
                new PrintStream(OutputStream.nullOutputStream()) {
                    @Override
                    public void println(String line) {
                        throw new IllegalStateException(SECRET);
                    }
                };
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream err = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        CommandLine commands =
                new CommandLine("boragethread-entry", err, err)
                        .add(
                                "check-config",
                                () -> new CheckConfigCommand().withStreams(failing, err));
        assertEquals(commands.run("check-config", "--config", file.toString()), 3);
        assertHidesSecret(bytes.toString(StandardCharsets.UTF_8));
        Files.delete(file);
    }

    @Test(dataProvider = "runs")
    public void exitCodeTellsWhatWasFound(
            String inForce, String checked, int exitCode, String output) throws IOException {
        Path directory = Files.createTempDirectory("check-config");
        Path before = Files.writeString(directory.resolve("before.json"), inForce);
        Path after = directory.resolve("after.json");
        if (checked != null) {
            Files.writeString(after, checked);
        }
        String text = run(exitCode, "--config", after.toString(), "--in-force", before.toString());
        assertTrue(text.contains(output), text);
        assertHidesSecret(text);
        if (exitCode != ExitCode.USAGE) {
            String json =
                    run(
                            exitCode,
                            "--json",
                            "--config",
                            after.toString(),
                            "--in-force",
                            before + "");
            ConfigReport report = new ObjectMapper().readValue(json, ConfigReport.class);
            assertEquals(report.toText(), text.stripTrailing());
        }
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }

    // Guards against a place without a path.
    @Test
    public void everyFieldHasAName() {
        for (Field field : Field.values()) {
            assertFalse(ConfigPaths.path(Place.of(field)).contains("null"), field.name());
        }
    }

    @Test
    public void missingOptionIsAUsageError() {
        run(ExitCode.USAGE, "--json");
    }

    private static String run(int exitCode, String... options) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        CommandLine commands =
                new CommandLine("boragethread-entry", out, out)
                        .add("check-config", () -> new CheckConfigCommand().withStreams(out, out));
        String[] arguments =
                Stream.concat(Stream.of("check-config"), Stream.of(options)).toArray(String[]::new);
        assertEquals(commands.run(arguments), exitCode, bytes.toString(StandardCharsets.UTF_8));
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
