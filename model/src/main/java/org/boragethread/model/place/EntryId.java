package org.boragethread.model.place;

import org.boragethread.model.Names;

/**
 * Identifies one run of an entry process. A restarted entry gets another value, so that claims and
 * leases of its previous run are never mistaken for its own.
 */
public record EntryId(String value) implements Comparable<EntryId> {

    public EntryId {
        Names.check("EntryId", value);
    }

    @Override
    public int compareTo(EntryId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
