package org.boragethread.standins.http;

import java.io.IOException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.RequestExecutorProvider;
import org.glassfish.grizzly.http.server.Response;

/** Reads the body of each request and passes the exchange to an {@link ExchangeHandler}. */
final class GrizzlyAdapter extends HttpHandler {

    private static final Logger LOGGER = LogManager.getLogger(GrizzlyAdapter.class);
    private static final RequestExecutorProvider SAME_THREAD =
            new RequestExecutorProvider.SameThreadProvider();

    private static final String TRANSFER_ENCODING = "Transfer-Encoding";
    private static final byte[] NO_BODY = {};

    private final ExchangeHandler mHandler;

    GrizzlyAdapter(ExchangeHandler handler) {
        mHandler = handler;
    }

    @Override
    public RequestExecutorProvider getRequestExecutorProvider() {
        return SAME_THREAD;
    }

    @Override
    public void service(Request request, Response response) throws IOException {
        byte[] body = hasBody(request) ? request.getInputStream().readAllBytes() : NO_BODY;
        response.suspend();
        dispatch(new Exchange(request, response, body));
    }

    /**
     * Without this check, Grizzly reads the body of an upgrade request until the connection ends.
     */
    private static boolean hasBody(Request request) {
        return request.getContentLengthLong() > 0 || request.getHeader(TRANSFER_ENCODING) != null;
    }

    private void dispatch(Exchange exchange) {
        try {
            mHandler.handle(exchange);
        } catch (BadRequestException e) {
            exchange.respond(StandInResponse.text(400, e.getMessage()));
        } catch (RuntimeException e) {
            LOGGER.error("{} {} failed", exchange.method(), exchange.path(), e);
            exchange.respond(StandInResponse.text(500, e.toString()));
        }
    }
}
