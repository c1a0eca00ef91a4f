package org.boragethread.standins.platform;

import java.util.List;

/**
 * Body of an append.
 *
 * @param records records in the order in which they are appended
 */
public record AppendRequest(List<NewRecord> records) {

    /**
     * A record to append.
     *
     * @param id id chosen by the client
     * @param data bytes of the record
     */
    public record NewRecord(String id, byte[] data) {}
}
