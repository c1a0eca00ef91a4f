package org.boragethread.model.upstream;

import org.boragethread.model.Names;

/** Identifies a group of interchangeable upstreams. */
public record GroupId(String value) implements Comparable<GroupId> {

    public GroupId {
        Names.check("GroupId", value);
    }

    @Override
    public int compareTo(GroupId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
