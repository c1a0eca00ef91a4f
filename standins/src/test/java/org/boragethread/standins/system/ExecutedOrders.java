package org.boragethread.standins.system;

import java.util.List;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.upstream.Order;

/** Collects the executed orders of all upstreams of a deployment. */
final class ExecutedOrders {

    private ExecutedOrders() {}

    static List<Order> of(Deployment deployment) {
        return deployment.upstreams().stream()
                .flatMap(upstream -> upstream.ledger().stream())
                .toList();
    }
}
