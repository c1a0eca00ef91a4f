package org.boragethread.core.follow;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The response to a read of records.
 *
 * @param endOffset offset after the newest record of the topic
 * @param nextOffset offset after the last record of the page
 * @param records the records in order; a relayed page may leave out records that later ones replace
 * @param relayAge if another process passed the page on, the time from its read of the store until
 *     the request reached it; negative if it read after that
 * @param era era of the store to which the offsets belong
 */
public record RecordPage(
        long endOffset,
        long nextOffset,
        List<KeyedRecord> records,
        Optional<Duration> relayAge,
        StoreEra era) {

    /** Returns a page that was read from the store, without gaps, from the given offset on. */
    public static RecordPage ofStore(
            long endOffset, long offset, List<KeyedRecord> records, StoreEra era) {
        return new RecordPage(endOffset, offset + records.size(), records, Optional.empty(), era);
    }
}
