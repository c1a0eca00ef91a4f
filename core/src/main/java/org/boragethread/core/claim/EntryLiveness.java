package org.boragethread.core.claim;

import org.boragethread.model.place.EntryId;

/** Failure detector for entries. Wrong suspicions cost time but never safety. */
public interface EntryLiveness {

    /** Returns whether the entry has stopped or has not been seen for a long time. */
    boolean isSuspected(EntryId entry);
}
