package org.boragethread.core.member;

import java.util.Optional;

/**
 * One process of a group.
 *
 * @param address address under which other members reach the process
 * @param startedAt Unix time in milliseconds at which the process started
 */
public record Member(String address, long startedAt) {

    private static final char SEPARATOR = '@';

    /** Returns the name under which the process joins its group. */
    public String name() {
        return Long.toString(startedAt) + SEPARATOR + address;
    }

    /** Parses the name of a member; returns empty if the name is malformed. */
    public static Optional<Member> parse(String name) {
        int separator = name.indexOf(SEPARATOR);
        if (separator <= 0 || separator == name.length() - 1) {
            return Optional.empty();
        }
        try {
            long startedAt = Long.parseLong(name.substring(0, separator));
            return Optional.of(new Member(name.substring(separator + 1), startedAt));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
