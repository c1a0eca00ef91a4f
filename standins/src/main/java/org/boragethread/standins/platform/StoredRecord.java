package org.boragethread.standins.platform;

/**
 * A record of a stream.
 *
 * @param offset position in the stream
 * @param timeMs time of the append in milliseconds since the epoch
 * @param id ID chosen by the client
 * @param data payload of the record
 */
public record StoredRecord(long offset, long timeMs, String id, byte[] data) {}
