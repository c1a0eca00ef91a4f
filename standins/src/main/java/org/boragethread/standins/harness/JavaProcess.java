package org.boragethread.standins.harness;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A running JVM and what it has printed. */
public final class JavaProcess {

    private static final int MAX_LINES_IN_MESSAGE = 40;

    private final String mName;
    private final Process mProcess;
    private final List<String> mLines = new ArrayList<>();

    JavaProcess(String name, Process process) {
        mName = name;
        mProcess = process;
        Thread reader = new Thread(this::readLines, name + "-output");
        reader.setDaemon(true);
        reader.start();
    }

    /** Returns the name given at the start. */
    public String name() {
        return mName;
    }

    /** Returns the process id. */
    public long pid() {
        return mProcess.pid();
    }

    /** Tells whether the process still runs. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Returns the processor time used so far. */
    public Duration cpuTime() {
        return mProcess.info().totalCpuDuration().orElse(Duration.ZERO);
    }

    /** Returns all lines printed so far, standard output and error together. */
    public List<String> lines() {
        synchronized (mLines) {
            return List.copyOf(mLines);
        }
    }

    /**
     * Waits for a line that matches a pattern.
     *
     * @return the first group of the match, or the whole match
     * @throws IllegalStateException if the process ends or the time passes without such a line
     */
    public String awaitLine(Pattern pattern, Duration timeout) {
        long end = System.nanoTime() + timeout.toNanos();
        synchronized (mLines) {
            int next = 0;
            while (true) {
                for (; next < mLines.size(); next++) {
                    Matcher matcher = pattern.matcher(mLines.get(next));
                    if (matcher.find()) {
                        return matcher.group(Math.min(1, matcher.groupCount()));
                    }
                }
                waitForLines(end, pattern);
            }
        }
    }

    /** Asks the process to stop (SIGTERM). Its output until its end can still be read. */
    public void terminate() {
        // Process.destroy() would also close the output, and with it the log of the stop.
        mProcess.toHandle().destroy();
    }

    /** Kills the process (SIGKILL). */
    public void kill() {
        mProcess.toHandle().destroyForcibly();
    }

    /** Asks the process to load its settings again (SIGHUP). */
    public void hangUp() {
        signal("-HUP");
    }

    /** Pauses the process (SIGSTOP). */
    public void pause() {
        signal("-STOP");
    }

    /** Lets a paused process run on (SIGCONT). */
    public void resume() {
        signal("-CONT");
    }

    /**
     * Waits for the end of the process.
     *
     * @return its exit code; 128 and the signal's number if a signal ended it
     * @throws IllegalStateException if the time passes first
     */
    public int awaitExit(Duration timeout) {
        try {
            if (mProcess.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
                return mProcess.exitValue();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        throw failure("did not end within " + timeout);
    }

    private void signal(String name) {
        try {
            int code =
                    new ProcessBuilder("/bin/kill", name, Long.toString(pid())).start().waitFor();
            if (code != 0) {
                throw failure("took no signal " + name);
            }
        } catch (IOException e) {
            throw new IllegalStateException("/bin/kill cannot be started", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private void waitForLines(long endNanos, Pattern pattern) {
        long leftMs = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
        if (leftMs <= 0) {
            throw failure("printed no line like " + pattern);
        }
        if (!mProcess.isAlive()) {
            throw failure("ended before a line like " + pattern);
        }
        try {
            mLines.wait(Math.min(leftMs, 100));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private IllegalStateException failure(String what) {
        List<String> lines = lines();
        int from = Math.max(0, lines.size() - MAX_LINES_IN_MESSAGE);
        String tail = String.join("\n", lines.subList(from, lines.size()));
        return new IllegalStateException("process %s %s\n%s".formatted(mName, what, tail));
    }

    private void readLines() {
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(mProcess.getInputStream(), StandardCharsets.UTF_8))) {
            String line = reader.readLine();
            while (line != null) {
                synchronized (mLines) {
                    mLines.add(line);
                    mLines.notifyAll();
                }
                line = reader.readLine();
            }
        } catch (IOException ignored) {
            // The process has ended and its output is closed.
        }
    }
}
