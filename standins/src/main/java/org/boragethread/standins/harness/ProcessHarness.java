package org.boragethread.standins.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Starts JVMs with this JVM's class path and ends them all when it is closed. */
public final class ProcessHarness implements AutoCloseable {

    private static final Duration KILL_TIMEOUT = Duration.ofSeconds(10);

    private final List<JavaProcess> mProcesses = new ArrayList<>();
    private final Thread mHook = new Thread(this::killAll, "harness-shutdown");

    /** Makes a harness; its processes also end with this JVM. */
    public ProcessHarness() {
        Runtime.getRuntime().addShutdownHook(mHook);
    }

    /**
     * Starts a process.
     *
     * @throws UncheckedIOException if it cannot be started
     */
    public synchronized JavaProcess start(Launch launch) {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        List<String> command = launch.command(java, System.getProperty("java.class.path"));
        try {
            Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
            JavaProcess started = new JavaProcess(launch.name(), process);
            mProcesses.add(started);
            return started;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + launch.name(), e);
        }
    }

    /** Returns all processes started so far, also those that have ended. */
    public synchronized List<JavaProcess> processes() {
        return List.copyOf(mProcesses);
    }

    /** Kills all processes that still run and waits for their end. */
    @Override
    public void close() {
        killAll();
        processes().forEach(process -> process.awaitExit(KILL_TIMEOUT));
        Runtime.getRuntime().removeShutdownHook(mHook);
    }

    private void killAll() {
        processes().forEach(JavaProcess::kill);
    }
}
