package org.boragethread.model.place;

import org.boragethread.model.Names;

/** Identifies a VM of the platform. */
public record VmId(String value) implements Comparable<VmId> {

    public VmId {
        Names.check("VmId", value);
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
