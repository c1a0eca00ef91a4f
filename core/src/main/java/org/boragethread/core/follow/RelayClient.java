package org.boragethread.core.follow;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.Consumer;

/** Reads topics from the relays of other processes. */
public interface RelayClient {

    /**
     * Reads from a relay.
     *
     * @param relay address of the process
     * @param offset offset of the first record
     * @param era era of the store to which the offset belongs
     * @param seenUpdate number of the update that was received last; 0 if there was none
     * @param timeout time after which the read fails
     * @param callback called once
     */
    void read(
            String relay,
            String topic,
            long offset,
            StoreEra era,
            long seenUpdate,
            Duration timeout,
            Consumer<Either<ReadFailure, TopicRelay.Update>> callback);
}
