package org.boragethread.model.place;

import org.boragethread.model.Names;

/** Identifies a data centre. */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

    public DataCentreId {
        Names.check("DataCentreId", value);
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
