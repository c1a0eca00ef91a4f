package org.boragethread.core.config;

import java.util.Objects;

/**
 * Reason why a document, an intent, a plan or replicated data is rejected.
 *
 * @param kind kind of the error
 * @param detail what is wrong and where
 */
public record ConfigError(Kind kind, String detail) {

    /** Kinds of errors, each with a remedy for the operator or the peer. */
    public enum Kind {
        /** The document cannot be parsed. */
        MALFORMED("correct the document"),
        /** The document has an unknown field. */
        UNKNOWN_FIELD("remove the field or correct its name"),
        /** The change is not valid for the current configuration. */
        INVALID("correct the intent, or split it if it is too large"),
        /** The plan leaves a stage without capacity. */
        NEEDS_FORCE("keep some capacity, or submit the intent again with \"force\": true"),
        /** The plan's digest does not match its content. */
        DIGEST("send the plan exactly as it was returned"),
        /**
         * The plan was made before the oldest decision that is still remembered, so it may already
         * have been decided.
         */
        PLAN_EXPIRED("submit the intent again and confirm the new plan"),
        /** An object that the plan touches has changed. */
        CONFLICT("submit the intent again and confirm the new plan"),
        /** The log is unreachable or rejected the confirmation; nothing has changed. */
        LOG_UNAVAILABLE("confirm the same plan again later"),
        /** The confirmation was sent, but its outcome is not known yet. */
        OUTCOME_UNKNOWN("confirm the same plan again; this is safe to repeat"),
        /** Too many confirmations are pending. */
        OVERLOADED("confirm the same plan again in a few seconds"),
        /** The hash of the received data does not match the sender's hash. */
        HASH_MISMATCH("fetch it again from another process"),
        /** Records between the current revision and the received data are missing. */
        GAP("fetch a snapshot");

        private final String mRemedy;

        Kind(String remedy) {
            mRemedy = remedy;
        }

        /** Returns the recommended action. */
        public String remedy() {
            return mRemedy;
        }
    }

    public ConfigError {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(detail, "detail");
    }

    /** Returns the detail followed by the recommended action. */
    public String message() {
        return detail + ": " + kind.remedy();
    }
}
