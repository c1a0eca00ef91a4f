import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway process, started by the command and the settings template of the deploy file. */
final class Gateway implements AutoCloseable {

    private static final int METRICS_PORT = 9464;
    private static final int GRACE_SECONDS = 8;

    private final Process mProcess;
    private final String mIp;
    private final int mFront;
    private final int mReady;
    private final Path mLog;

    Gateway(Path repository, Path folder, String name, Platform platform) throws IOException {
        mIp = freeIp();
        mFront = freePort();
        mReady = freePort();
        int peer = freePort();
        Map<String, String> values = new LinkedHashMap<>();
        values.put("node_name", name);
        values.put("zone", "montevideo");
        values.put("ip", mIp);
        values.put("listen.front", mIp + ":" + mFront);
        values.put("listen.ready", mIp + ":" + mReady);
        values.put("port_range.0", Integer.toString(peer));
        values.put("platform.address", platform.address());
        values.put("platform.parts", Integer.toString(Platform.partitions()));
        values.put("limits.cpu_share", "0.57");
        values.put("limits.cores", "1");
        values.put("bounds.drain_ms", "2000");
        values.put("bounds.revoke_ms", "5000");
        values.put("bounds.stable_window_ms", "3000");
        values.put("bounds.grace_s", Integer.toString(GRACE_SECONDS));
        values.put("bounds.retry_budget_ratio", "0.2");
        values.put("bounds.budget_slack", "56");
        values.put("bounds.budget_window_s", "10");
        values.put("bounds.cold_overshoot", "1.5");
        values.put("bounds.cold_slack", "5");
        values.put(
                "contracts",
                "base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,stages");
        String template = Files.readString(repository.resolve("deploy/entry.toml.template"));
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(settings, render(template, values));
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(deploy);
        if (!run.find()) {
            throw new IOException("deploy/system.toml names no command");
        }
        List<String> command = new ArrayList<>(List.of(run.group(1).split(" +")));
        command.replaceAll(
                word -> word.equals("/etc/boragethread/local.toml") ? settings.toString() : word);
        mLog = folder.resolve(name + ".log");
        mProcess =
                new ProcessBuilder(command)
                        .directory(repository.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(mLog.toFile())
                        .start();
        Runtime.getRuntime().addShutdownHook(new Thread(mProcess::destroyForcibly));
    }

    /** Fills in the template: values, the one zone, and no section without a value. */
    private static String render(String template, Map<String, String> values) {
        String text =
                replace(
                        template,
                        "\\{\\{#zones\\}\\}(.*?)\\{\\{/zones\\}\\}",
                        body -> body.replace("{{@}}", "montevideo").replace("{{.}}", "uy-sur"));
        text =
                replace(
                        text,
                        "\\{\\{#platform.parts\\}\\}(.*?)\\{\\{/platform.parts\\}\\}",
                        body -> body);
        text = replace(text, "\\{\\{#[^}]*\\}\\}(.*?)\\{\\{/[^}]*\\}\\}", body -> "");
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        return text;
    }

    private static String replace(
            String text, String pattern, java.util.function.UnaryOperator<String> body) {
        Matcher section = Pattern.compile(pattern, Pattern.DOTALL).matcher(text);
        return section.replaceAll(
                match -> Matcher.quoteReplacement(body.apply(match.group(1))));
    }

    /** Returns a loopback address at which the fixed port of the metrics is free. */
    private static String freeIp() throws IOException {
        for (int i = 0; i < 50; i++) {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            String ip = "127.%d.%d.%d".formatted(
                    random.nextInt(1, 250), random.nextInt(1, 250), random.nextInt(1, 250));
            try (ServerSocket socket =
                    new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(ip))) {
                return ip;
            } catch (IOException e) {
                continue;
            }
        }
        throw new IOException("no loopback address is free");
    }

    private int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(mIp))) {
            return socket.getLocalPort();
        }
    }

    /** Waits until the gateway says that it is ready. */
    void awaitReady() throws IOException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < end) {
            if (!mProcess.isAlive()) {
                throw new IOException("the gateway has ended: see " + mLog);
            }
            if (isReady()) {
                return;
            }
            Case.sleep(100);
        }
        throw new IOException("the gateway is not ready: see " + mLog);
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(mIp, mReady), 500);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write(
                            "GET /v1/readiness HTTP/1.1\r\nHost: ready\r\n\r\n"
                                    .getBytes(StandardCharsets.ISO_8859_1));
            return Http.readHead(socket.getInputStream(), true)
                    .filter(head -> head.status() == 200)
                    .isPresent();
        } catch (IOException e) {
            return false;
        }
    }

    InetSocketAddress front() {
        return new InetSocketAddress(mIp, mFront);
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Sends a signal to the process that this object started. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
    }

    Path log() {
        return mLog;
    }

    File folder() {
        return mLog.getParent().toFile();
    }

    @Override
    public void close() {
        mProcess.destroyForcibly();
        try {
            mProcess.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
