package org.boragethread.model.config;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.boragethread.model.Names;

/**
 * What an operator wants to change. All changes take effect together or not at all.
 *
 * @param id identifier chosen by the operator
 * @param operator name of the operator
 * @param changes the changes in order, at least one, each of another object
 * @param force whether to go on although a stage is left without capacity
 */
public record Intent(String id, String operator, List<Change> changes, boolean force) {

    /** Greatest number of changes in one intent. */
    public static final int MAX_CHANGES = 1000;

    public Intent {
        Names.check("Intent", id);
        Names.check("Operator", operator);
        Objects.requireNonNull(changes, "changes");
        changes = List.copyOf(changes);
        if (changes.isEmpty() || changes.size() > MAX_CHANGES) {
            throw new IllegalArgumentException(
                    "intent \"%s\" has %d changes: state 1 to %d, or split it"
                            .formatted(id, changes.size(), MAX_CHANGES));
        }
        checkDistinct(id, changes);
    }

    /** Tells whether a change takes something out of service. */
    public boolean takesOut() {
        return changes.stream().anyMatch(Change::takesOut);
    }

    private static void checkDistinct(String id, List<Change> changes) {
        Set<ObjectRef> seen = new HashSet<>();
        for (Change change : changes) {
            if (!seen.add(change.ref())) {
                throw new IllegalArgumentException(
                        "intent \"%s\" changes %s twice: state one change of it"
                                .formatted(id, change.ref()));
            }
        }
    }
}
