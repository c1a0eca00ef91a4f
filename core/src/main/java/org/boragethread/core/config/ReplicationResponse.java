package org.boragethread.core.config;

import java.util.List;
import java.util.Objects;

/** Response to a peer whose configuration is older than this process's. */
public sealed interface ReplicationResponse {

    /**
     * The records that the peer is missing.
     *
     * @param delta the missing records
     */
    record Delta(ConfigDelta delta) implements ReplicationResponse {

        public Delta {
            Objects.requireNonNull(delta, "delta");
        }
    }

    /**
     * A complete configuration, sent when the missing records are no longer available.
     *
     * @param parts all parts, in order
     */
    record Snapshot(List<ConfigSnapshotPart> parts) implements ReplicationResponse {

        public Snapshot {
            parts = List.copyOf(parts);
        }
    }
}
