package org.boragethread.standins.system;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.locks.LockSupport;
import org.boragethread.standins.harness.JavaProcess;
import org.boragethread.standins.harness.ProcessHarness;

/** A gateway that is stopped, killed, paused and started again, one thing after the other. */
final class SoakGateway implements AutoCloseable {

    /** Time after a pause in which its consequences are still felt. */
    private static final long PAUSE_SLACK_NANOS = Duration.ofSeconds(1).toNanos();

    /** Time after the signal to stop from which a request must end whole or not run. */
    private static final long LATE_NANOS = Duration.ofSeconds(3).toNanos();

    private static final int READINESS_TIMEOUT_MILLIS = 300;
    private static final String READINESS =
            "GET /v1/readiness HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n";

    /** Few repeats, so that the budget is often used up. */
    private static final String SECTIONS =
            "[shares]\nretry_ratio = 0.05\nretry_slack = 3\nretry_window_s = 4\n";

    private static final String SHARED_SCHEDULING =
            "[scheduling]\nplatform_rules = \"pool,pressure\"\n";

    private final ProcessHarness mHarness;
    private final Duration mGrace;
    private final ExecutorService mThread = Executors.newSingleThreadExecutor();
    private final List<Life> mLives = new CopyOnWriteArrayList<>();
    private final List<Future<?>> mTasks = new CopyOnWriteArrayList<>();
    private volatile boolean mReady;

    /** A process from its start to its end; times are those of {@link System#nanoTime}. */
    static final class Life {
        final TestGateway mGateway;
        volatile long mTerminated = Long.MAX_VALUE;
        volatile long mKilled = Long.MAX_VALUE;
        volatile boolean mOutlivedGrace;
        final List<long[]> mPauses = new CopyOnWriteArrayList<>();

        private final Duration mGrace;

        Life(TestGateway gateway, Duration grace) {
            mGateway = gateway;
            mGrace = grace;
        }

        /** Returns whether the process was killed before a time's end, or paused around it. */
        boolean isDisturbed(long begin, long end) {
            return mKilled <= end
                    || mPauses.stream()
                            .anyMatch(
                                    pause ->
                                            pause[0] < end && pause[1] + PAUSE_SLACK_NANOS > begin);
        }

        /** Returns for how long the process had been asked to stop, or a negative time. */
        long stoppingMillis(long time) {
            return mTerminated > time ? -1 : Duration.ofNanos(time - mTerminated).toMillis();
        }

        /**
         * Returns whether a request ended in the last sixth of the grace period and was written
         * soon enough after the signal that the process could not refuse it in good time.
         */
        boolean isGraceOver(long written, long ended) {
            return mTerminated != Long.MAX_VALUE
                    && ended - mTerminated > mGrace.toNanos() / 6 * 5
                    && written - mTerminated <= LATE_NANOS;
        }

        /** Returns what is wrong with the end of the process, or empty. */
        Optional<String> wrongEnd() {
            JavaProcess process = mGateway.process();
            if (process.isAlive() || mKilled != Long.MAX_VALUE || mOutlivedGrace) {
                return Optional.empty();
            }
            int code = process.awaitExit(TestGateway.TIMEOUT);
            return mTerminated != Long.MAX_VALUE && code == 0
                    ? Optional.empty()
                    : Optional.of("ended with code " + code);
        }

        /** Returns whether the process was killed at the end of its grace period. */
        boolean outlivedGrace() {
            return mOutlivedGrace;
        }

        List<String> lines() {
            return mGateway.process().lines();
        }
    }

    SoakGateway(
            ProcessHarness harness,
            String name,
            String store,
            Duration grace,
            boolean sharedScheduling)
            throws Exception {
        mHarness = harness;
        mGrace = grace;
        String sections = sharedScheduling ? SECTIONS + SHARED_SCHEDULING : SECTIONS;
        mLives.add(new Life(TestGateway.start(harness, name, store, grace, sections), grace));
    }

    Life life() {
        return mLives.get(mLives.size() - 1);
    }

    List<Life> lives() {
        return mLives;
    }

    boolean isReady() {
        return mReady;
    }

    /** Returns whether something is being done to the process. */
    boolean isBusy() {
        return mTasks.stream().anyMatch(task -> !task.isDone());
    }

    private void execute(Runnable task) {
        mTasks.add(CompletableFuture.runAsync(task, mThread));
    }

    /** Waits until everything has been done that was asked for; fails if something has failed. */
    void awaitTasks() throws Exception {
        for (Future<?> task : mTasks) {
            task.get();
        }
    }

    /** Asks the process whether it is ready, as a load balancer does. */
    void checkReadiness() {
        int port = life().mGateway.readinessPort();
        try (Socket connection = new Socket()) {
            connection.connect(new InetSocketAddress("127.0.0.1", port), READINESS_TIMEOUT_MILLIS);
            connection.setSoTimeout(READINESS_TIMEOUT_MILLIS);
            connection.getOutputStream().write(READINESS.getBytes(StandardCharsets.US_ASCII));
            byte[] status = connection.getInputStream().readNBytes(12);
            mReady = new String(status, StandardCharsets.US_ASCII).endsWith(" 200");
        } catch (IOException e) {
            mReady = false;
        }
    }

    /** Stops the process as planned; signals follow each other after the times. */
    void stop(boolean withHangUp, List<Duration> furtherSignals) {
        execute(
                () -> {
                    Life life = life();
                    if (withHangUp) {
                        life.mGateway.process().hangUp();
                    }
                    life.mTerminated = System.nanoTime();
                    life.mGateway.process().terminate();
                    for (Duration delay : furtherSignals) {
                        LockSupport.parkNanos(delay.toNanos());
                        life.mGateway.process().terminate();
                    }
                    awaitEnd(life);
                });
    }

    private static void awaitEnd(Life life) {
        long end = life.mTerminated + life.mGrace.toNanos();
        while (life.mGateway.process().isAlive()) {
            if (System.nanoTime() > end) {
                life.mOutlivedGrace = true;
                life.mGateway.process().kill();
                life.mGateway.process().awaitExit(TestGateway.TIMEOUT);
            }
            LockSupport.parkNanos(Duration.ofMillis(5).toNanos());
        }
    }

    private static void kill(Life life) {
        life.mKilled = System.nanoTime();
        life.mGateway.process().kill();
        life.mGateway.process().awaitExit(TestGateway.TIMEOUT);
    }

    void kill() {
        execute(() -> kill(life()));
    }

    void startAgain() {
        execute(() -> mLives.add(new Life(life().mGateway.startAgain(mHarness), mGrace)));
    }

    void hangUp() {
        execute(() -> life().mGateway.process().hangUp());
    }

    void pause(Duration time) {
        execute(
                () -> {
                    Life life = life();
                    long begin = System.nanoTime();
                    long[] pause = {begin, begin + time.toNanos()};
                    life.mPauses.add(pause);
                    life.mGateway.process().pause();
                    LockSupport.parkNanos(time.toNanos());
                    life.mGateway.process().resume();
                    pause[1] = System.nanoTime();
                });
    }

    @Override
    public void close() {
        mThread.shutdownNow();
    }
}
