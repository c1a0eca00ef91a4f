package org.boragethread.model.claim;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * The complete response to a claimed call. Arrays are not copied and must not be modified.
 *
 * @param status HTTP status of the upstream's response
 * @param contentType media type of the body, or an empty string
 * @param body the body, or empty if it was too large to store
 */
public record ClaimOutcome(int status, String contentType, Optional<byte[]> body) {

    public ClaimOutcome {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /** Returns an outcome with a body. */
    public static ClaimOutcome of(int status, String contentType, byte[] body) {
        return new ClaimOutcome(status, contentType, Optional.of(body));
    }

    /** Returns this outcome without its body. */
    public ClaimOutcome withoutBody() {
        return new ClaimOutcome(status, contentType, Optional.empty());
    }

    /** Returns the size of the stored body in bytes; 0 if there is none. */
    public int bodyBytes() {
        return body.map(b -> b.length).orElse(0);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ClaimOutcome that
                && status == that.status
                && contentType.equals(that.contentType)
                && Arrays.equals(body.orElse(null), that.body.orElse(null));
    }

    @Override
    public int hashCode() {
        return Objects.hash(status, contentType, Arrays.hashCode(body.orElse(null)));
    }

    @Override
    public String toString() {
        return "ClaimOutcome[status=%d, contentType=%s, bodyBytes=%d]"
                .formatted(status, contentType, bodyBytes());
    }
}
