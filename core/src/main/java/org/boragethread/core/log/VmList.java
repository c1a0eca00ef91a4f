package org.boragethread.core.log;

import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.boragethread.model.place.Vm;

/**
 * Snapshot of the platform's VMs.
 *
 * @param asOf time of the snapshot, by the platform's clock
 * @param vms the VMs
 */
public record VmList(Instant asOf, List<Vm> vms) {

    public VmList {
        Objects.requireNonNull(asOf, "asOf");
        vms = List.copyOf(vms);
    }
}
