package org.boragethread.core.log;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/** Why a call of the platform had no good answer. */
public sealed interface LogError {

    /** Returns what happened and what to do about it. */
    String message();

    /** Tells whether an append may have taken effect all the same. */
    default boolean mayHaveTakenEffect() {
        return false;
    }

    /**
     * The platform refused the call or could not be reached; nothing was appended.
     *
     * @param detail what happened and where
     * @param retryAfter when to try again, if the platform said so
     */
    record Unavailable(String detail, Optional<Duration> retryAfter) implements LogError {

        public Unavailable {
            Objects.requireNonNull(detail, "detail");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }

        @Override
        public String message() {
            return detail + ": try again later; operators: check the platform's log service";
        }
    }

    /**
     * No whole answer arrived in time, or the connection broke.
     *
     * @param detail what happened and where
     */
    record TimedOut(String detail) implements LogError {

        public TimedOut {
            Objects.requireNonNull(detail, "detail");
        }

        @Override
        public String message() {
            return detail + ": send it again with the same record ids";
        }

        @Override
        public boolean mayHaveTakenEffect() {
            return true;
        }
    }

    /**
     * The wanted records are no longer kept.
     *
     * @param stream name of the stream
     * @param first oldest offset that the stream still holds
     * @param next offset after the stream's newest record
     */
    record Expired(String stream, long first, long next) implements LogError {

        public Expired {
            Objects.requireNonNull(stream, "stream");
        }

        @Override
        public String message() {
            return "stream \"%s\" holds records from %d only: start from a snapshot"
                    .formatted(stream, first);
        }
    }

    /**
     * The answer is not in the platform's protocol.
     *
     * @param detail what is wrong and where
     */
    record InvalidResponse(String detail) implements LogError {

        public InvalidResponse {
            Objects.requireNonNull(detail, "detail");
        }

        @Override
        public String message() {
            return detail + ": try again; operators: check the address of the platform service";
        }

        @Override
        public boolean mayHaveTakenEffect() {
            return true;
        }
    }

    /**
     * The answer is larger than the client accepts.
     *
     * @param detail what was asked for, and the bound
     */
    record ResponseTooLarge(String detail) implements LogError {

        public ResponseTooLarge {
            Objects.requireNonNull(detail, "detail");
        }

        @Override
        public String message() {
            return detail + ": ask for fewer records";
        }

        @Override
        public boolean mayHaveTakenEffect() {
            return true;
        }
    }

    /**
     * The call itself is wrong, so that trying again does not help.
     *
     * @param detail what is wrong and how to correct it
     */
    record Rejected(String detail) implements LogError {

        public Rejected {
            Objects.requireNonNull(detail, "detail");
        }

        @Override
        public String message() {
            return detail;
        }
    }
}
