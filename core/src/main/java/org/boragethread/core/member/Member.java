package org.boragethread.core.member;

import java.util.Optional;

/**
 * One process of a group.
 *
 * @param address address under which other members reach the process
 * @param startedAt Unix time in milliseconds at which the process started
 * @param capacity computing capacity of the process, in hundredths of a core
 */
public record Member(String address, long startedAt, int capacity) {

    private static final char SEPARATOR = '@';
    private static final char CAPACITY_SEPARATOR = ';';

    /** Returns the name under which the process joins its group. */
    public String name() {
        return Long.toString(startedAt) + CAPACITY_SEPARATOR + capacity + SEPARATOR + address;
    }

    /** Parses the name of a member; returns empty if the name is malformed. */
    public static Optional<Member> parse(String name) {
        int separator = name.indexOf(SEPARATOR);
        int capacityStart = name.indexOf(CAPACITY_SEPARATOR);
        if (capacityStart <= 0 || separator < capacityStart || separator == name.length() - 1) {
            return Optional.empty();
        }
        try {
            long startedAt = Long.parseLong(name.substring(0, capacityStart));
            int capacity = Integer.parseInt(name.substring(capacityStart + 1, separator));
            return Optional.of(new Member(name.substring(separator + 1), startedAt, capacity));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
