package org.boragethread.core.follow;

import java.util.List;

/**
 * Records from an offset on.
 *
 * @param endOffset offset after the newest record of the topic
 * @param firstOffset offset of the oldest record that is kept
 * @param records the records, in order and without gaps
 */
public record KeyedPage(long endOffset, long firstOffset, List<KeyedRecord> records) {}
