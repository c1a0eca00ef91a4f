package org.boragethread.model.place;

import org.boragethread.model.Names;

/**
 * Identifies one run of an entry process. A restarted entry has another value, so that its earlier
 * claims and leases are never taken for its own.
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
