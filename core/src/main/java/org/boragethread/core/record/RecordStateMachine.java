package org.boragethread.core.record;

/** State machine that is driven by the records of one stream, in order. */
public interface RecordStateMachine {

    /**
     * Applies the next record.
     *
     * @param timeMillis log time of the record, in milliseconds since the Unix epoch
     */
    void apply(long offset, long timeMillis, String recordId, byte[] data);

    /** Clears all state, because records before an offset can no longer be read. */
    void restart(long firstOffset);
}
