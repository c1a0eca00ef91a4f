package org.boragethread.model.config;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.boragethread.model.Names;

/**
 * A set of changes that an operator requests. They take effect atomically.
 *
 * @param id identifier chosen by the operator
 * @param operator name of the operator
 * @param changes the changes in order, at least one, each to a different object
 * @param force whether to apply the changes even if a stage is left without capacity
 */
public record Intent(String id, String operator, List<Change> changes, boolean force) {

    /** Maximum number of changes in one intent. */
    public static final int MAX_CHANGES = 1000;

    public Intent {
        Names.check("Intent", id);
        Names.check("Operator", operator);
        Objects.requireNonNull(changes, "changes");
        changes = List.copyOf(changes);
        if (changes.isEmpty() || changes.size() > MAX_CHANGES) {
            throw new IllegalArgumentException(
                    "intent \"%s\" has %d changes: use 1 to %d changes, or split it"
                            .formatted(id, changes.size(), MAX_CHANGES));
        }
        checkDistinct(id, changes);
    }

    /** Returns whether a change takes an object out of service. */
    public boolean takesOutOfService() {
        return changes.stream().anyMatch(Change::takesOutOfService);
    }

    private static void checkDistinct(String id, List<Change> changes) {
        Set<ObjectRef> seen = new HashSet<>();
        for (Change change : changes) {
            if (!seen.add(change.ref())) {
                throw new IllegalArgumentException(
                        "intent \"%s\" changes %s twice: combine the changes into one"
                                .formatted(id, change.ref()));
            }
        }
    }
}
