package org.boragethread.wire.frame;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of connections between entries and agents. They must be equal on both sides.
 *
 * @param key secret key of which both sides prove possession
 * @param maxFrameBytes maximum length of a frame, in bytes
 * @param pingInterval interval at which entries send pings
 * @param idleTimeout time without a received frame after which a connection is closed
 */
public record WireSettings(
        SharedKey key, int maxFrameBytes, Duration pingInterval, Duration idleTimeout) {

    /** Protocol version; both sides must use the same version. */
    public static final int PROTOCOL_VERSION = 1;

    /** Default for {@link #maxFrameBytes}: 4 MiB. */
    public static final int DEFAULT_MAX_FRAME_BYTES = 4 << 20;

    /** Default for {@link #pingInterval}. */
    public static final Duration DEFAULT_PING_INTERVAL = Duration.ofSeconds(1);

    /** Default for {@link #idleTimeout}. */
    public static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(4);

    public WireSettings {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(pingInterval, "pingInterval");
        Objects.requireNonNull(idleTimeout, "idleTimeout");
    }

    /** Returns settings with the given key and default values otherwise. */
    public static WireSettings withKey(SharedKey key) {
        return new WireSettings(
                key, DEFAULT_MAX_FRAME_BYTES, DEFAULT_PING_INTERVAL, DEFAULT_IDLE_TIMEOUT);
    }
}
