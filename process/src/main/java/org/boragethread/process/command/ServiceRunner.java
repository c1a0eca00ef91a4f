package org.boragethread.process.command;

import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Runs a service until SIGTERM or SIGINT. A shutdown hook waits for the graceful shutdown. */
public final class ServiceRunner {

    private static final Logger LOGGER = LogManager.getLogger(ServiceRunner.class);

    private final CountDownLatch mStopRequested = new CountDownLatch(1);
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private volatile int mExitCode = ExitCode.OK;

    private ServiceRunner() {}

    /**
     * Runs a service until a signal arrives.
     *
     * @return the exit code, see {@link ExitCode}
     */
    public static int run(Service service) {
        ServiceRunner runner = new ServiceRunner();
        Runtime.getRuntime().addShutdownHook(new Thread(runner::onSignal, "stop-signal"));
        runner.startAndAwaitStop(service);
        return runner.mExitCode;
    }

    private void startAndAwaitStop(Service service) {
        try {
            service.start();
        } catch (Exception e) {
            LOGGER.error("cannot start: {}: check the addresses in the settings", e.toString());
            mExitCode = ExitCode.FAILED;
            mStopped.countDown();
            return;
        }
        awaitQuietly(mStopRequested);
        try {
            service.stop();
        } catch (RuntimeException e) {
            LOGGER.error("shutdown failed", e);
            mExitCode = ExitCode.FAILED;
        }
        mStopped.countDown();
    }

    private void onSignal() {
        mStopRequested.countDown();
        awaitQuietly(mStopped);
        // Writes what is still queued, which halt() would drop.
        LogManager.shutdown();
        // Without this, the exit code would be 128 plus the number of the signal.
        Runtime.getRuntime().halt(mExitCode);
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
