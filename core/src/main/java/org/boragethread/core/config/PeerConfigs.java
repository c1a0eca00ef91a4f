package org.boragethread.core.config;

import java.util.concurrent.CompletableFuture;

/** The configurations of processes that can be reached. */
public interface PeerConfigs {

    /** No peers. */
    PeerConfigs NONE = () -> CompletableFuture.completedFuture(null);

    /**
     * Asks all reachable peers for what they have beyond this process's revision. The future
     * completes once their answers are in the store, or after the caller's bound on the time.
     */
    CompletableFuture<Void> pull();
}
