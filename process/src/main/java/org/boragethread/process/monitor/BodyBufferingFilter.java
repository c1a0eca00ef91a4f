package org.boragethread.process.monitor;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.HttpStatus;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Buffers a request until its body is complete, without blocking a thread, so that handlers can
 * read the body without waiting. A body that is too long is passed on incomplete, so that the
 * handler rejects it. If a body arrives too slowly, the filter responds with status 408 and closes
 * the connection.
 *
 * <p>Grizzly's own asynchronous reading of bodies is not used, because it sometimes permanently
 * stops reading from the connection when the response is completed on another thread.
 */
final class BodyBufferingFilter extends BaseFilter {

    private static final String TIMEOUT_PROBLEM =
            "{\"type\":\"urn:boragethread:problem:body-timeout\",\"title\":\"body timeout\","
                    + "\"status\":408,\"detail\":\"the body did not arrive in time\","
                    + "\"reason\":\"body-timeout\",\"ran\":\"no\","
                    + "\"remedy\":\"send the whole body without pauses\"}";

    private final Attribute<ScheduledFuture<?>> mTimers =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
                    BodyBufferingFilter.class.getName() + "-" + System.identityHashCode(this));
    private final BodyLimits mLimits;
    private final ScheduledExecutorService mExecutor;

    BodyBufferingFilter(BodyLimits limits, ScheduledExecutorService executor) {
        mLimits = limits;
        mExecutor = executor;
    }

    @Override
    public NextAction handleRead(FilterChainContext context) {
        HttpContent content = context.getMessage();
        if (content.isLast() || isTooLong(content)) {
            cancelTimer(context.getConnection());
            return context.getInvokeAction();
        }
        HttpRequestPacket request = (HttpRequestPacket) content.getHttpHeader();
        if (mTimers.get(context.getConnection()) == null) {
            startTimer(context.getConnection(), request);
            sendContinue(context, request);
        }
        return context.getStopAction(content);
    }

    private boolean isTooLong(HttpContent content) {
        return content.getHttpHeader().getContentLength() > mLimits.maxBytes()
                || content.getContent().remaining() > mLimits.maxBytes();
    }

    /** Sends status 100 to a client that expects it before it sends the body. */
    private static void sendContinue(FilterChainContext context, HttpRequestPacket request) {
        if (request.requiresAcknowledgement()) {
            HttpResponsePacket response = request.getResponse();
            response.setStatus(HttpStatus.CONINTUE_100);
            response.setAcknowledgement(true);
            context.write(response);
        }
    }

    private void startTimer(Connection<?> connection, HttpRequestPacket request) {
        ScheduledFuture<?> timer =
                mExecutor.schedule(
                        () -> onTimeout(connection, request),
                        mLimits.timeout().toNanos(),
                        TimeUnit.NANOSECONDS);
        mTimers.set(connection, timer);
    }

    private void cancelTimer(Connection<?> connection) {
        ScheduledFuture<?> timer = mTimers.remove(connection);
        if (timer != null) {
            timer.cancel(false);
        }
    }

    @SuppressWarnings("unchecked")
    private static void onTimeout(Connection<?> connection, HttpRequestPacket request) {
        byte[] body = TIMEOUT_PROBLEM.getBytes(StandardCharsets.UTF_8);
        HttpResponsePacket response = request.getResponse();
        response.setStatus(HttpStatus.REQUEST_TIMEOUT_408);
        response.setContentType("application/problem+json");
        response.setContentLength(body.length);
        response.setHeader("Connection", "close");
        Buffer buffer = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body);
        ((Connection<Object>) connection)
                .write(HttpContent.builder(response).content(buffer).last(true).build());
        connection.closeSilently();
    }

    @Override
    public NextAction handleClose(FilterChainContext context) {
        cancelTimer(context.getConnection());
        return context.getInvokeAction();
    }
}
