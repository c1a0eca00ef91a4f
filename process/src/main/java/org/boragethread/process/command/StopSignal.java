package org.boragethread.process.command;

import java.util.concurrent.CountDownLatch;

/** Turns SIGTERM and SIGINT into an orderly stop: the runtime waits for {@link #finish}. */
public final class StopSignal {

    private final CountDownLatch mAsked = new CountDownLatch(1);
    private final CountDownLatch mFinished = new CountDownLatch(1);

    private StopSignal() {}

    /** Begins to listen for signals. */
    public static StopSignal install() {
        StopSignal signal = new StopSignal();
        Runtime.getRuntime().addShutdownHook(new Thread(signal::onSignal, "stop-signal"));
        return signal;
    }

    private void onSignal() {
        mAsked.countDown();
        awaitQuietly(mFinished);
        // The runtime would exit with 128 plus the signal's number.
        Runtime.getRuntime().halt(ExitCode.OK);
    }

    /** Waits for a signal. */
    public void await() {
        awaitQuietly(mAsked);
    }

    /** Lets the runtime exit; the orderly stop is done. */
    public void finish() {
        mFinished.countDown();
    }

    private static void awaitQuietly(CountDownLatch latch) {
        boolean done = false;
        while (!done) {
            try {
                latch.await();
                done = true;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
