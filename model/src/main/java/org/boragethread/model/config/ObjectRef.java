package org.boragethread.model.config;

import java.util.Objects;
import org.boragethread.model.Names;

/**
 * Reference to one configuration object.
 *
 * @param kind kind of the object
 * @param name name of the object, unique within its kind
 */
public record ObjectRef(ObjectKind kind, String name) {

    /** The total capacity in service. */
    public static final ObjectRef CAPACITY = new ObjectRef(ObjectKind.CAPACITY, "service");

    public ObjectRef {
        Objects.requireNonNull(kind, "kind");
        Names.check("name of " + kind.label(), name);
    }

    @Override
    public String toString() {
        return kind.label() + " \"" + name + "\"";
    }
}
