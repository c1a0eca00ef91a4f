package org.boragethread.core.config;

import java.util.List;
import java.util.Objects;

/** What a process sends to a peer that is behind. */
public sealed interface ConfigAnswer {

    /**
     * The records that the peer lacks.
     *
     * @param delta the records
     */
    record Delta(ConfigDelta delta) implements ConfigAnswer {

        public Delta {
            Objects.requireNonNull(delta, "delta");
        }
    }

    /**
     * A whole configuration, because the records are no longer held.
     *
     * @param parts all parts, in order
     */
    record Snapshot(List<ConfigSnapshot> parts) implements ConfigAnswer {

        public Snapshot {
            parts = List.copyOf(parts);
        }
    }
}
