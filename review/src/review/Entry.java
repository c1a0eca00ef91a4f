package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry of the project, started as a process with the command of deploy/system.toml. */
final class Entry implements AutoCloseable {
    private static final String SETTINGS = "/etc/boragethread/local.toml";

    private static final int MIN_PORT = 20_000;
    private static final int MAX_PORT = 32_000;

    private final Path mRepository;
    private final Path mFolder;
    private final String mName;
    private final Path mSettings;
    private final int mListen = freePort();
    private final int mReady = freePort();
    private Optional<Consumer<InputStream>> mLogReader = Optional.empty();
    private Process mProcess;

    Entry(Path repository, Path folder, String name, String zone, Store store) throws IOException {
        mRepository = repository;
        mFolder = folder;
        mName = name;
        mSettings = folder.resolve(name + ".toml");
        // deploy/entry.toml.template with the figures of the settings that DEPLOY.md shows.
        Files.writeString(mSettings, """
                [gateway]
                name = "%s"
                data_centre = "%s"
                listen = "127.0.0.1:%d"
                readiness_listen = "127.0.0.1:%d"
                metrics_listen = "127.0.0.1:%d"
                peer_listen = "127.0.0.1:%d"
                store = "%s"
                store_partitions = 12

                [data_centres]
                "montevideo" = "uy-sur"
                "canelones" = "uy-sur"

                [vm]
                cpu_share = 0.57
                cores = 1

                [bounds]
                leave_ms = 2000
                revoke_ms = 5000
                stable_ms = 3000
                grace_s = 8

                [shares]
                retry_ratio = 0.2
                retry_slack = 56
                retry_window_s = 10
                cold_overshoot = 1.5
                cold_slack = 5
                """.formatted(name, zone, mListen, mReady, freePort(), freePort(), store.address()));
    }

    /** Returns a free port below those that outgoing connections get. */
    private static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Another process has it.
            }
        }
    }

    void start() throws IOException {
        String deploy = Files.readString(mRepository.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("no run command in deploy/system.toml");
        }
        List<String> command = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
        command.replaceAll(word -> word.equals(SETTINGS) ? mSettings.toString() : word);
        Path log = mFolder.resolve(mName + ".log");
        ProcessBuilder builder = new ProcessBuilder(command).directory(mRepository.toFile());
        builder.environment().put("BORAGETHREAD_SETTINGS", mSettings.toString());
        if (mLogReader.isPresent()) {
            mProcess = builder.redirectErrorStream(true).start();
            mLogReader.get().accept(mProcess.getInputStream());
        } else {
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            mProcess = builder.start();
        }
        Process started = mProcess;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    /** Sets who reads what the process writes; otherwise it goes to a file. */
    void setLogReader(Consumer<InputStream> reader) {
        mLogReader = Optional.of(reader);
    }

    Path log() {
        return mFolder.resolve(mName + ".log");
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    int listenPort() {
        return mListen;
    }

    /** Asks for readiness as the platform does; false also without a response in time. */
    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", mReady), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write(("GET /v1/readiness HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n").getBytes());
            Http.Message response = Http.read(socket.getInputStream(), false);
            return response != null && response.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Kills the process at once. */
    void kill() throws InterruptedException {
        mProcess.destroyForcibly();
        mProcess.waitFor(10, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws InterruptedException {
        if (mProcess != null) {
            kill();
        }
    }
}
