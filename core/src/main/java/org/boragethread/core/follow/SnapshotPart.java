package org.boragethread.core.follow;

import java.util.List;

/**
 * One part of a snapshot, which consists of the newest record of each key.
 *
 * @param records the records, in the order of their keys
 * @param hasMore whether further keys follow the last one
 * @param endOffset offset after the newest record of the topic when the part was read
 * @param era era of the store when the part was read
 */
public record SnapshotPart(
        List<KeyedRecord> records, boolean hasMore, long endOffset, StoreEra era) {}
