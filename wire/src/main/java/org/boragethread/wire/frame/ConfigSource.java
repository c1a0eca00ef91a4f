package org.boragethread.wire.frame;

import java.util.Objects;
import org.boragethread.core.config.ConfigStore;
import org.boragethread.core.config.Replication;

/**
 * Configuration of this process, which its connections exchange with their peers.
 *
 * @param store store of the current configuration
 * @param replication creates responses for peers that have an older revision
 */
public record ConfigSource(ConfigStore store, Replication replication) {

    public ConfigSource {
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(replication, "replication");
    }

    /** Creates a source for the configuration in the given store. */
    public static ConfigSource of(ConfigStore store) {
        return new ConfigSource(store, new Replication(store));
    }
}
