package org.boragethread.core.follow;

import java.util.Optional;

/**
 * One record of a compacted topic.
 *
 * @param offset offset of the record, or -1 if the reader must derive it by counting
 * @param key the key that is set or removed; empty if the record cannot be decoded
 * @param value the new value, or empty if the key is removed
 */
public record KeyedRecord(long offset, String key, Optional<byte[]> value) {}
