package org.boragethread.model.place;

import java.util.Objects;

/**
 * A VM in the platform's list.
 *
 * @param id name of the VM
 * @param host IP address of the VM
 * @param port port of the agent in the VM's slot
 * @param dataCentre data centre of the VM
 * @param state state of the VM
 */
public record Vm(VmId id, String host, int port, DataCentreId dataCentre, VmState state) {

    private static final int MAX_PORT = 65535;

    public Vm {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(state, "state");
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException(
                    "VM \"%s\": port %d must be from 1 to %d".formatted(id, port, MAX_PORT));
        }
    }
}
