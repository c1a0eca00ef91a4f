package org.boragethread.process.monitor;

import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.server.AddOn;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.utils.DelayedExecutor;
import org.glassfish.grizzly.utils.IdleTimeoutFilter;

/**
 * Ignores requests to upgrade the protocol. Grizzly treats a request with an Upgrade header as one
 * whose body never ends, and common clients send this header with their first request.
 */
final class UpgradeIgnoringFilter extends HttpServerFilter {

    private UpgradeIgnoringFilter(NetworkListener listener, DelayedExecutor executor) {
        super(true, maxHeaderBytes(listener), listener.getKeepAlive(), executor);
    }

    private static int maxHeaderBytes(NetworkListener listener) {
        int bytes = listener.getMaxHttpHeaderSize();
        return bytes > 0 ? bytes : DEFAULT_MAX_HTTP_PACKET_HEADER_SIZE;
    }

    @Override
    protected void onHttpHeadersParsed(
            HttpHeader header, MimeHeaders headers, FilterChainContext context) {
        header.getUpgradeDC().recycle();
        super.onHttpHeadersParsed(header, headers, context);
    }

    /** Returns an add-on that replaces the HTTP filter of Grizzly with this filter. */
    static AddOn addOn() {
        return UpgradeIgnoringFilter::replaceHttpFilter;
    }

    private static void replaceHttpFilter(NetworkListener listener, FilterChainBuilder filters) {
        DelayedExecutor executor =
                IdleTimeoutFilter.createDefaultIdleDelayedExecutor(1, TimeUnit.SECONDS);
        executor.start();
        int index = filters.indexOfType(HttpServerFilter.class);
        filters.set(index, new UpgradeIgnoringFilter(listener, executor));
    }
}
