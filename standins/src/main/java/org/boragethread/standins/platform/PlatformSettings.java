package org.boragethread.standins.platform;

/**
 * Settings of the stand-in.
 *
 * @param port port to listen on, or 0 for a free one
 * @param retentionMs time that a record is kept, in milliseconds
 * @param retentionRecords number of records that a stream keeps
 * @param seed seed of the random faults
 */
public record PlatformSettings(int port, long retentionMs, int retentionRecords, long seed) {

    /** A free port, records kept for an hour. */
    public static final PlatformSettings DEFAULTS =
            new PlatformSettings(0, 3_600_000, 1_000_000, 1);
}
