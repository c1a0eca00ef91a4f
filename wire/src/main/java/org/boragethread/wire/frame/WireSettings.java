package org.boragethread.wire.frame;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of connections between entries and agents, equal on both sides.
 *
 * @param key secret that both sides prove to have
 * @param maxFrameBytes greatest length of a frame
 * @param pingInterval time between pings of an entry
 * @param silenceLimit time without any frame after which a connection is given up
 */
public record WireSettings(
        SharedKey key, int maxFrameBytes, Duration pingInterval, Duration silenceLimit) {

    /** Version of the protocol; both sides must have the same. */
    public static final int PROTOCOL_VERSION = 1;

    /** Default for {@link #maxFrameBytes}: 4 MiB. */
    public static final int DEFAULT_MAX_FRAME_BYTES = 4 << 20;

    /** Default for {@link #pingInterval}. */
    public static final Duration DEFAULT_PING_INTERVAL = Duration.ofSeconds(1);

    /** Default for {@link #silenceLimit}. */
    public static final Duration DEFAULT_SILENCE_LIMIT = Duration.ofSeconds(4);

    public WireSettings {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(pingInterval, "pingInterval");
        Objects.requireNonNull(silenceLimit, "silenceLimit");
    }

    /** Returns settings with the default sizes and times. */
    public static WireSettings withKey(SharedKey key) {
        return new WireSettings(
                key, DEFAULT_MAX_FRAME_BYTES, DEFAULT_PING_INTERVAL, DEFAULT_SILENCE_LIMIT);
    }
}
