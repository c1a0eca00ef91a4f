package org.boragethread.standins.platform;

import java.util.List;

/**
 * Body of an append.
 *
 * @param records records in the order of appending
 */
public record AppendRequest(List<NewRecord> records) {

    /**
     * A record to append.
     *
     * @param id ID chosen by the client
     * @param data payload of the record
     */
    public record NewRecord(String id, byte[] data) {}
}
