package org.boragethread.entry.placement;

import org.boragethread.wire.proto.PlacementSender;

/**
 * An entry from its start to its end.
 *
 * @param address address at which other entries reach it
 * @param number differs for each start at the address; a later one has a greater number
 */
public record EntryIncarnation(String address, long number) {

    /** Returns the name that distinguishes the run from all others. */
    String name() {
        return address + '#' + number;
    }

    static EntryIncarnation decode(PlacementSender sender) {
        return new EntryIncarnation(sender.getAddress(), sender.getRun());
    }

    PlacementSender encode() {
        return PlacementSender.newBuilder().setAddress(address).setRun(number).build();
    }
}
