package org.boragethread.standins.upstream;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.boragethread.standins.http.Exchange;
import org.boragethread.standins.http.Json;
import org.boragethread.standins.http.StandInResponse;

/** Control interface of one upstream. */
final class UpstreamControl {

    private final Upstream mUpstream;

    UpstreamControl(Upstream upstream) {
        mUpstream = upstream;
    }

    /**
     * Serves a control call.
     *
     * @param action path of the control call
     * @return false if the path is not one of the control interface
     */
    boolean handle(Exchange exchange, String action) {
        switch (action) {
            case "/control" -> handleFaults(exchange);
            case "/control/cold" -> {
                mUpstream.goCold();
                exchange.respond(StandInResponse.json(200, mUpstream.stats()));
            }
            case "/control/refuse" -> {
                exchange.respond(StandInResponse.text(200, "refuses connections"));
                mUpstream.executeOnTimer(mUpstream::disconnect);
            }
            case "/control/accept" -> {
                mUpstream.executeOnTimer(this::reconnect);
                exchange.respond(StandInResponse.text(200, "accepts connections"));
            }
            case "/stats" -> exchange.respond(StandInResponse.json(200, mUpstream.stats()));
            case "/stats/reset" -> {
                mUpstream.resetStats();
                exchange.respond(StandInResponse.json(200, mUpstream.stats()));
            }
            case "/ledger" -> exchange.respond(StandInResponse.json(200, mUpstream.ledger()));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void handleFaults(Exchange exchange) {
        if ("POST".equals(exchange.method())) {
            UpstreamFaults current = mUpstream.faults();
            mUpstream.setFaults(Json.merge(current, exchange.body(), UpstreamFaults.class));
        }
        exchange.respond(StandInResponse.json(200, mUpstream.faults()));
    }

    private void reconnect() {
        try {
            mUpstream.reconnect();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
