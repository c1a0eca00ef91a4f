package org.boragethread.standins.harness;

import java.util.Optional;
import org.boragethread.standins.proxy.FaultProxy;

/**
 * A started agent.
 *
 * @param spec what it was started from
 * @param process its process
 * @param address its own address for entries
 * @param monitor address of health and metrics
 * @param fromEntries proxy that entries connect to, if any
 * @param toUpstream proxy through which it reaches its upstream, if any
 */
public record RunningAgent(
        NodeSpec.Agent spec,
        JavaProcess process,
        String address,
        String monitor,
        Optional<FaultProxy> fromEntries,
        Optional<FaultProxy> toUpstream) {

    /** Returns the address that the platform's list gives. */
    public String listedAddress() {
        return fromEntries.map(FaultProxy::address).orElse(address);
    }

    /** Returns the name of the upstream. */
    public String name() {
        return spec.upstream().name();
    }
}
