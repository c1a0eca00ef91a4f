package org.boragethread.core.config;

import java.util.concurrent.CompletableFuture;

/** Access to the configurations of reachable peer processes. */
public interface PeerConfigs {

    /** An instance without peers. */
    PeerConfigs NONE = () -> CompletableFuture.completedFuture(null);

    /**
     * Asks all reachable peers for changes after this process's revision. The future completes once
     * their responses have been applied to the store, or when a time limit has passed.
     */
    CompletableFuture<Void> pull();
}
