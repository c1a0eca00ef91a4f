package org.boragethread.core.log;

import java.util.Objects;

/**
 * Failure of a write whose record was not read back.
 *
 * @param kind kind of the failure
 * @param detail description of the failure
 */
public record WriteError(Kind kind, String detail) {

    /** What is known about a record that was not read back in time. */
    public enum Kind {
        /** No append of the record can have taken effect. */
        NOT_WRITTEN("retry later"),
        /** The record may be in the log or may still appear there. */
        OUTCOME_UNKNOWN("look for the record, or write it again with the same id"),
        /** The record was never sent because too many records are pending. */
        OVERLOADED("retry later"),
        /** The log does not accept the record. */
        REJECTED("correct the record");

        private final String mRemedy;

        Kind(String remedy) {
            mRemedy = remedy;
        }

        /** Returns what the writer can do about the failure. */
        public String remedy() {
            return mRemedy;
        }
    }

    public WriteError {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(detail, "detail");
    }

    /** Returns a description of the failure and its remedy. */
    public String message() {
        return detail + ": " + kind.remedy();
    }
}
