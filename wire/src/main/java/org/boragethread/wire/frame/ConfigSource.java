package org.boragethread.wire.frame;

import java.util.Objects;
import org.boragethread.core.config.ConfigStore;
import org.boragethread.core.config.Replication;

/**
 * The configuration of this process, which its connections exchange with their peers.
 *
 * @param store the table that holds the configuration
 * @param replication answers for peers that are behind
 */
public record ConfigSource(ConfigStore store, Replication replication) {

    public ConfigSource {
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(replication, "replication");
    }

    /** Returns a source over a store. */
    public static ConfigSource of(ConfigStore store) {
        return new ConfigSource(store, new Replication(store));
    }
}
