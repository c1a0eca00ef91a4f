package org.boragethread.core.follow;

import java.util.Optional;

/**
 * One record of a keyed topic.
 *
 * @param offset its position, or -1 if the reader must count it
 * @param key the key it sets or removes; empty if the record cannot be read
 * @param value the new value, or empty if the key is removed
 */
public record KeyedRecord(long offset, String key, Optional<byte[]> value) {}
