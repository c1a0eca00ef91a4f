package org.boragethread.model.config;

import java.util.Objects;

/**
 * A configuration object with the revision of its last change.
 *
 * @param value the object
 * @param revision log offset of the record that changed it last
 */
public record Versioned<T>(T value, long revision) {

    public Versioned {
        Objects.requireNonNull(value, "value");
    }
}
