package org.boragethread.core.admission;

import java.util.ArrayList;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Listener invocations that are collected while a lock is held and run after it is released. */
final class DeferredCallbacks {

    private static final Logger LOGGER = LogManager.getLogger(DeferredCallbacks.class);

    private final List<Runnable> mCallbacks = new ArrayList<>();

    void add(Runnable callback) {
        mCallbacks.add(callback);
    }

    /**
     * Runs the callbacks in order. An exception thrown by one is logged and does not prevent the
     * others from running.
     */
    void runAll() {
        for (Runnable callback : mCallbacks) {
            try {
                callback.run();
            } catch (RuntimeException | Error e) {
                LOGGER.error(
                        "An admission listener threw an exception; the listener must be fixed", e);
            }
        }
    }
}
