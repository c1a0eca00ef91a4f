package org.boragethread.standins.upstream;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.boragethread.standins.http.Answer;
import org.boragethread.standins.http.Exchange;
import org.boragethread.standins.http.Json;

/** Control calls of one upstream. */
final class UpstreamControl {

    private final Upstream mUpstream;

    UpstreamControl(Upstream upstream) {
        mUpstream = upstream;
    }

    /**
     * Serves a control call.
     *
     * @param action path that names what to do
     * @return false if the path is none of control
     */
    boolean handle(Exchange exchange, String action) {
        switch (action) {
            case "/control" -> onControl(exchange);
            case "/control/cold" -> {
                mUpstream.goCold();
                exchange.answer(Answer.json(200, mUpstream.stats()));
            }
            case "/control/refuse" -> {
                exchange.answer(Answer.text(200, "refuses connections"));
                mUpstream.later(mUpstream::refuse);
            }
            case "/control/accept" -> {
                mUpstream.later(this::accept);
                exchange.answer(Answer.text(200, "accepts connections"));
            }
            case "/stats" -> exchange.answer(Answer.json(200, mUpstream.stats()));
            case "/stats/reset" -> {
                mUpstream.resetStats();
                exchange.answer(Answer.json(200, mUpstream.stats()));
            }
            case "/ledger" -> exchange.answer(Answer.json(200, mUpstream.ledger()));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void onControl(Exchange exchange) {
        if ("POST".equals(exchange.method())) {
            UpstreamFaults now = mUpstream.faults();
            mUpstream.setFaults(Json.merge(now, exchange.body(), UpstreamFaults.class));
        }
        exchange.answer(Answer.json(200, mUpstream.faults()));
    }

    private void accept() {
        try {
            mUpstream.accept();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
