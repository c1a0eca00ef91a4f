package org.boragethread.core.follow;

import java.util.List;

/**
 * The response to a read of consecutive records.
 *
 * @param endOffset offset after the newest record of the topic
 * @param firstOffset offset of the oldest retained record
 * @param records the records, in order and without gaps
 */
public record RecordPage(long endOffset, long firstOffset, List<KeyedRecord> records) {}
