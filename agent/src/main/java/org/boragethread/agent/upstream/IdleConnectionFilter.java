package org.boragethread.agent.upstream;

import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Closes a connection at the first byte that arrives while no exchange uses it. A part of a message
 * would otherwise be completed during the next exchange.
 */
final class IdleConnectionFilter extends BaseFilter {

    @Override
    public NextAction handleRead(FilterChainContext context) {
        if (ExchangeFilter.isAttached(context.getConnection())) {
            return context.getInvokeAction();
        }
        context.getConnection().closeSilently();
        return context.getStopAction();
    }
}
