package org.boragethread.model.place;

import java.util.Objects;

/**
 * A data centre.
 *
 * @param id name of the data centre
 * @param region region of the data centre; data centres of a region are close to each other
 * @param service whether it receives new work
 */
public record DataCentre(DataCentreId id, String region, ServiceState service) {

    public DataCentre {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(service, "service");
    }

    /** Returns this data centre with another service state. */
    public DataCentre withService(ServiceState state) {
        return new DataCentre(id, region, state);
    }
}
