package org.boragethread.core.member;

import java.util.Optional;
import org.boragethread.model.place.DataCentreId;

/**
 * One process of a group.
 *
 * @param address address under which other members reach the process
 * @param startedAt Unix time in milliseconds at which the process started
 * @param capacity computing capacity of the process, in hundredths of a core
 * @param dataCentre data centre of the process
 */
public record Member(String address, long startedAt, int capacity, DataCentreId dataCentre) {

    private static final char ADDRESS_SEPARATOR = '@';
    private static final String FIELD_SEPARATOR = ";";
    private static final int FIELDS = 3;

    /** Returns the name under which the process joins its group. */
    public String name() {
        String fields =
                String.join(
                        FIELD_SEPARATOR,
                        Long.toString(startedAt),
                        Integer.toString(capacity),
                        dataCentre.value());
        return fields + ADDRESS_SEPARATOR + address;
    }

    /** Parses the name of a member; returns empty if the name is malformed. */
    public static Optional<Member> parse(String name) {
        int separator = name.lastIndexOf(ADDRESS_SEPARATOR);
        if (separator < 0 || separator == name.length() - 1) {
            return Optional.empty();
        }
        String[] fields = name.substring(0, separator).split(FIELD_SEPARATOR, FIELDS);
        if (fields.length < FIELDS || fields[2].isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new Member(
                            name.substring(separator + 1),
                            Long.parseLong(fields[0]),
                            Integer.parseInt(fields[1]),
                            new DataCentreId(fields[2])));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
