package org.boragethread.core.claim;

import org.boragethread.model.place.EntryId;

/** Tells which entries seem to be gone. Wrong answers cost time but are never unsafe. */
public interface EntryLiveness {

    /** Tells whether the entry has ended or has not been heard of for long. */
    boolean isSuspected(EntryId entry);
}
