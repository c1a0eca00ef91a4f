package org.boragethread.wire.client;

import java.util.Objects;
import org.boragethread.model.place.DataCentreId;

/**
 * Identity that an entry presents in the handshake.
 *
 * @param entryId id of the entry
 * @param dataCentre data centre of the entry
 */
public record EntryIdentity(String entryId, DataCentreId dataCentre) {

    public EntryIdentity {
        Objects.requireNonNull(entryId, "entryId");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }
}
