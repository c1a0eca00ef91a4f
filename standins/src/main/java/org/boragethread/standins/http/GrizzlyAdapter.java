package org.boragethread.standins.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.RequestExecutorProvider;
import org.glassfish.grizzly.http.server.Response;

/** Collects the body of each call without blocking and hands it to an {@link ExchangeHandler}. */
final class GrizzlyAdapter extends HttpHandler {

    private static final Logger LOGGER = LogManager.getLogger(GrizzlyAdapter.class);
    private static final RequestExecutorProvider SAME_THREAD =
            new RequestExecutorProvider.SameThreadProvider();

    private final ExchangeHandler mHandler;

    GrizzlyAdapter(ExchangeHandler handler) {
        mHandler = handler;
    }

    @Override
    public RequestExecutorProvider getRequestExecutorProvider() {
        return SAME_THREAD;
    }

    @Override
    public void service(Request request, Response response) {
        response.suspend();
        NIOInputStream input = request.getNIOInputStream();
        input.notifyAvailable(new BodyReader(request, response, input));
    }

    private void dispatch(Exchange exchange) {
        try {
            mHandler.handle(exchange);
        } catch (BadRequestException e) {
            exchange.answer(Answer.text(400, e.getMessage()));
        } catch (RuntimeException e) {
            LOGGER.error("{} {} failed", exchange.method(), exchange.path(), e);
            exchange.answer(Answer.text(500, e.toString()));
        }
    }

    /** Reads one body. */
    private final class BodyReader implements ReadHandler {
        private final Request mRequest;
        private final Response mResponse;
        private final NIOInputStream mInput;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();

        BodyReader(Request request, Response response, NIOInputStream input) {
            mRequest = request;
            mResponse = response;
            mInput = input;
        }

        @Override
        public void onDataAvailable() throws IOException {
            drain();
            mInput.notifyAvailable(this);
        }

        @Override
        public void onAllDataRead() throws IOException {
            drain();
            dispatch(new Exchange(mRequest, mResponse, mBody.toByteArray()));
        }

        @Override
        public void onError(Throwable cause) {
            LOGGER.debug("body of a call did not arrive whole", cause);
            mRequest.getRequest().getConnection().closeSilently();
        }

        private void drain() throws IOException {
            byte[] part = new byte[mInput.available()];
            int length = mInput.read(part);
            if (length > 0) {
                mBody.write(part, 0, length);
            }
        }
    }
}
