package org.boragethread.core.config;

import java.util.Objects;

/**
 * Why a document, an intent or a plan cannot be used.
 *
 * @param kind what is wrong
 * @param detail what happened and where
 */
public record ConfigError(Kind kind, String detail) {

    /** Kinds of errors, each with its remedy. */
    public enum Kind {
        /** The document cannot be read. */
        MALFORMED("correct the document"),
        /** A field of the document is not known. */
        UNKNOWN_FIELD("remove the field or correct its name"),
        /** The change does not fit the configuration. */
        INVALID("correct the intent, or split it if it is too large"),
        /** The plan leaves a stage without capacity. */
        NEEDS_FORCE("keep some capacity, or state the intent again with \"force\": true"),
        /** The plan's digest does not match its content. */
        DIGEST("send the plan exactly as it was answered"),
        /** The plan is too old to be told from one that was decided already. */
        PLAN_EXPIRED("state the intent again and confirm the new plan"),
        /** An object that the plan touches has changed. */
        CONFLICT("state the intent again and confirm the new plan"),
        /** The log refused the confirmation or cannot be reached; nothing has changed. */
        LOG_UNAVAILABLE("confirm the same plan again later"),
        /** The confirmation was sent and its fate is not known yet. */
        OUTCOME_UNKNOWN("confirm the same plan again; this is safe to repeat"),
        /** Too many confirmations wait. */
        OVERLOADED("confirm the same plan again in some seconds"),
        /** Received data is not what its sender hashed. */
        HASH_MISMATCH("fetch it again from another process"),
        /** Received data does not follow on the present revision. */
        GAP("fetch a snapshot");

        private final String mRemedy;

        Kind(String remedy) {
            mRemedy = remedy;
        }

        /** Returns what the receiver can do about it. */
        public String remedy() {
            return mRemedy;
        }
    }

    public ConfigError {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(detail, "detail");
    }

    /** Returns what happened and what to do about it. */
    public String message() {
        return detail + ": " + kind.remedy();
    }
}
