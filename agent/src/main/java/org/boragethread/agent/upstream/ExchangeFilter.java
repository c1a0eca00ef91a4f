package org.boragethread.agent.upstream;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;

/** Passes the events of a connection to the exchange that uses the connection. */
final class ExchangeFilter extends BaseFilter {

    private static final Attribute<Exchange> EXCHANGE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(ExchangeFilter.class.getName());

    static void attach(Connection<?> connection, Exchange exchange) {
        EXCHANGE.set(connection, exchange);
    }

    static boolean isAttached(Connection<?> connection) {
        return EXCHANGE.get(connection) != null;
    }

    /** Fails the exchange that uses a connection, if there is one. */
    static void fail(Connection<?> connection, String detail) {
        Exchange exchange = EXCHANGE.get(connection);
        if (exchange != null) {
            exchange.onInvalid(detail);
        }
    }

    static void detach(Connection<?> connection) {
        EXCHANGE.remove(connection);
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        Exchange exchange = EXCHANGE.get(context.getConnection());
        if (exchange == null) {
            context.getConnection().closeSilently();
            return context.getStopAction();
        }
        HttpContent content = context.getMessage();
        boolean continueReading = exchange.onContent(content, context);
        return continueReading ? context.getStopAction() : context.getSuspendAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
        Exchange exchange = EXCHANGE.remove(context.getConnection());
        if (exchange != null) {
            exchange.onClosed();
        }
        return context.getInvokeAction();
    }

    @Override
    public void exceptionOccurred(FilterChainContext context, Throwable error) {
        context.getConnection().closeSilently();
    }
}
