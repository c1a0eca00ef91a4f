package org.boragethread.core.record;

/** State that is computed from the records of one stream, in order. */
public interface RecordStateMachine {

    /**
     * Takes the next record.
     *
     * @param timeMillis log time of the record, in milliseconds since 1970
     */
    void apply(long offset, long timeMillis, String recordId, byte[] data);

    /** Forgets everything, because records before an offset can no longer be read. */
    void restart(long firstOffset);
}
