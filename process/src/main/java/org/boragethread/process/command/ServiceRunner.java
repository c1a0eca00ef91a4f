package org.boragethread.process.command;

import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Runs a service until SIGTERM or SIGINT arrives; the runtime waits for the orderly stop. */
public final class ServiceRunner {

    private static final Logger LOGGER = LogManager.getLogger(ServiceRunner.class);

    private final CountDownLatch mAsked = new CountDownLatch(1);
    private final CountDownLatch mFinished = new CountDownLatch(1);
    private volatile int mExitCode = ExitCode.OK;

    private ServiceRunner() {}

    /**
     * Runs a service.
     *
     * @return the exit code, see {@link ExitCode}
     */
    public static int run(Service service) {
        ServiceRunner runner = new ServiceRunner();
        Runtime.getRuntime().addShutdownHook(new Thread(runner::onSignal, "stop-signal"));
        runner.serve(service);
        return runner.mExitCode;
    }

    private void serve(Service service) {
        try {
            service.start();
        } catch (Exception e) {
            LOGGER.error("cannot start: {}: check the addresses in the settings", e.toString());
            mExitCode = ExitCode.FAILED;
            mFinished.countDown();
            return;
        }
        awaitQuietly(mAsked);
        try {
            service.stop();
        } catch (RuntimeException e) {
            LOGGER.error("stopped badly", e);
            mExitCode = ExitCode.FAILED;
        }
        mFinished.countDown();
    }

    private void onSignal() {
        mAsked.countDown();
        awaitQuietly(mFinished);
        // Without this the runtime would exit with 128 plus the signal's number.
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
