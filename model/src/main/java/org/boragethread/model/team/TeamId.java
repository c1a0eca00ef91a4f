package org.boragethread.model.team;

import org.boragethread.model.Names;

/** Identifies a team. */
public record TeamId(String value) implements Comparable<TeamId> {

    public TeamId {
        Names.check("TeamId", value);
    }

    @Override
    public int compareTo(TeamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
