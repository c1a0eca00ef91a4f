package org.boragethread.model.config;

import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Identifies a plan by the SHA-256 digest of its content.
 *
 * @param value the digest as 64 lower-case hexadecimal digits
 */
public record PlanId(String value) implements Comparable<PlanId> {

    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");

    public PlanId {
        Objects.requireNonNull(value, "value");
        if (!DIGEST.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "plan id \"%s\" is not a SHA-256 digest: send the plan as it was returned"
                            .formatted(value));
        }
    }

    @Override
    public int compareTo(PlanId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
