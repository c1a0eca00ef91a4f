package org.boragethread.core.config;

import java.util.Objects;

/**
 * One part of the snapshot of a configuration. The snapshot is compressed and split into parts that
 * fit into a log record or a frame. The data array is not copied and must not be modified.
 *
 * @param revision revision of the configuration
 * @param part position of this part, from 0
 * @param parts number of parts of the snapshot
 * @param data bytes of this part
 * @param contentHash hash of the complete, uncompressed configuration
 */
public record ConfigSnapshotPart(
        long revision, int part, int parts, byte[] data, long contentHash) {

    /** Maximum number of parts of one snapshot. */
    public static final int MAX_PARTS = 256;

    public ConfigSnapshotPart {
        Objects.requireNonNull(data, "data");
        if (parts < 1 || parts > MAX_PARTS || part < 0 || part >= parts) {
            throw new IllegalArgumentException(
                    "snapshot part %d of %d is out of range".formatted(part, parts));
        }
    }
}
