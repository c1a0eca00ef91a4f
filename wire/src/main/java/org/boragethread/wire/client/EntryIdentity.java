package org.boragethread.wire.client;

import java.util.Objects;
import org.boragethread.model.place.DataCentreId;

/**
 * Who an entry says it is.
 *
 * @param entryId name of the entry
 * @param dataCentre its data centre
 */
public record EntryIdentity(String entryId, DataCentreId dataCentre) {

    public EntryIdentity {
        Objects.requireNonNull(entryId, "entryId");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }
}
