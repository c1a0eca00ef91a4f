package org.boragethread.core.config;

import java.util.Objects;

/**
 * One part of a compressed configuration. The array is not copied; readers do not change it.
 *
 * @param revision revision of the configuration
 * @param part position of this part, from 0
 * @param parts number of parts
 * @param data bytes of this part
 * @param contentHash hash of the whole configuration's uncompressed form
 */
public record ConfigSnapshot(long revision, int part, int parts, byte[] data, long contentHash) {

    /** Greatest number of parts of one snapshot. */
    public static final int MAX_PARTS = 256;

    public ConfigSnapshot {
        Objects.requireNonNull(data, "data");
        if (parts < 1 || parts > MAX_PARTS || part < 0 || part >= parts) {
            throw new IllegalArgumentException(
                    "snapshot part %d of %d is out of range".formatted(part, parts));
        }
    }
}
