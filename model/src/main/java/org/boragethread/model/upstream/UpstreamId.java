package org.boragethread.model.upstream;

import org.boragethread.model.Names;

/** Identifies one upstream: one server process behind an agent. */
public record UpstreamId(String value) implements Comparable<UpstreamId> {

    public UpstreamId {
        Names.check("UpstreamId", value);
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
