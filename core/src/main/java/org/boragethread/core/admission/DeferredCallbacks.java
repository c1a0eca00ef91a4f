package org.boragethread.core.admission;

import java.util.ArrayList;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Calls to listeners, collected under a lock and made after its release. */
final class DeferredCallbacks {

    private static final Logger LOGGER = LogManager.getLogger(DeferredCallbacks.class);

    private final List<Runnable> mCalls = new ArrayList<>();

    void add(Runnable call) {
        mCalls.add(call);
    }

    /** Makes the calls in order; one that fails does not keep the others from being made. */
    void runAll() {
        for (Runnable call : mCalls) {
            try {
                call.run();
            } catch (RuntimeException e) {
                LOGGER.error("A listener of the gate failed; correct the listener", e);
            }
        }
    }
}
