package org.boragethread.core.log;

import java.util.Objects;

/**
 * Why a record was not read back.
 *
 * @param kind what is known of the record
 * @param detail what happened and where
 */
public record WriteError(Kind kind, String detail) {

    /** What is known of a record that was not read back in time. */
    public enum Kind {
        /** No append of it can have taken effect. */
        NOT_WRITTEN("try again later"),
        /** It may be in the log, or may still appear there. */
        OUTCOME_UNKNOWN("look for the record, or write it again with the same id"),
        /** Too many records wait, so it was never sent. */
        OVERLOADED("try again later"),
        /** The log does not take such a record. */
        REJECTED("correct the record");

        private final String mRemedy;

        Kind(String remedy) {
            mRemedy = remedy;
        }

        /** Returns what the writer can do about it. */
        public String remedy() {
            return mRemedy;
        }
    }

    public WriteError {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(detail, "detail");
    }

    /** Returns what happened and what to do about it. */
    public String message() {
        return detail + ": " + kind.remedy();
    }
}
