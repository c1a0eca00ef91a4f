package org.boragethread.standins.platform;

/**
 * Settings of the platform's stand-in.
 *
 * @param port port to listen on, or 0 for a free one
 * @param retentionMs retention time of records, in milliseconds
 * @param retentionRecords maximum number of records that a stream retains
 * @param seed seed of the random faults
 */
public record PlatformSettings(int port, long retentionMs, int retentionRecords, long seed) {

    /** A free port, and records retained for one hour. */
    public static final PlatformSettings DEFAULTS =
            new PlatformSettings(0, 3_600_000, 1_000_000, 1);
}
