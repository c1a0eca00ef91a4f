package org.boragethread.standins.upstream;

import org.boragethread.standins.http.Exchange;
import org.boragethread.standins.http.ExchangeHandler;
import org.boragethread.standins.http.StandInResponse;

/** HTTP interface of one upstream: stage calls and the control interface on one port. */
final class UpstreamHandler implements ExchangeHandler {

    private final Upstream mUpstream;
    private final UpstreamControl mControl;

    UpstreamHandler(Upstream upstream) {
        mUpstream = upstream;
        mControl = new UpstreamControl(upstream);
    }

    @Override
    public void handle(Exchange exchange) {
        if (mControl.handle(exchange, exchange.path())) {
            return;
        }
        if ("POST".equals(exchange.method())) {
            mUpstream.handleCall(exchange);
            return;
        }
        exchange.respond(StandInResponse.text(405, "stage calls use POST"));
    }
}
