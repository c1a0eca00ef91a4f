package org.boragethread.core.log;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/** Failure of a call to the platform. */
public sealed interface LogError {

    /** Returns a description of the failure and its remedy. */
    String message();

    /** Returns whether an append may have taken effect despite the failure. */
    default boolean mayHaveTakenEffect() {
        return false;
    }

    /**
     * The platform refused the call or could not be reached; nothing was appended.
     *
     * @param detail description of the failure
     * @param retryAfter delay before a retry, if the platform specified one
     */
    record Unavailable(String detail, Optional<Duration> retryAfter) implements LogError {

        public Unavailable {
            Objects.requireNonNull(detail, "detail");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }

        @Override
        public String message() {
            return detail + ": retry later; operators: check the log service of the platform";
        }
    }

    /**
     * No complete response arrived in time, or the connection was lost.
     *
     * @param detail description of the failure
     */
    record TimedOut(String detail) implements LogError {

        public TimedOut {
            Objects.requireNonNull(detail, "detail");
        }

        @Override
        public String message() {
            return detail + ": retry with the same record ids";
        }

        @Override
        public boolean mayHaveTakenEffect() {
            return true;
        }
    }

    /**
     * The requested records are no longer retained.
     *
     * @param stream name of the stream
     * @param first oldest retained offset of the stream
     * @param next offset after the newest record of the stream
     */
    record Expired(String stream, long first, long next) implements LogError {

        public Expired {
            Objects.requireNonNull(stream, "stream");
        }

        @Override
        public String message() {
            return "stream \"%s\" only retains records from offset %d: start from a snapshot"
                    .formatted(stream, first);
        }
    }

    /**
     * The response does not conform to the platform's protocol.
     *
     * @param detail description of the protocol violation
     */
    record InvalidResponse(String detail) implements LogError {

        public InvalidResponse {
            Objects.requireNonNull(detail, "detail");
        }

        @Override
        public String message() {
            return detail
                    + ": retry; operators: check the configured address of the platform service";
        }

        @Override
        public boolean mayHaveTakenEffect() {
            return true;
        }
    }

    /**
     * The response exceeds the size limit of the client.
     *
     * @param detail the request and the size limit
     */
    record ResponseTooLarge(String detail) implements LogError {

        public ResponseTooLarge {
            Objects.requireNonNull(detail, "detail");
        }

        @Override
        public String message() {
            return detail + ": request fewer records";
        }

        @Override
        public boolean mayHaveTakenEffect() {
            return true;
        }
    }

    /**
     * The call is invalid; a retry would fail again.
     *
     * @param detail the error and how to correct it
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
