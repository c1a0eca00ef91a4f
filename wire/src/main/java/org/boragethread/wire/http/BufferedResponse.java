package org.boragethread.wire.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.function.Consumer;
import org.boragethread.core.time.Scheduler;

/**
 * A complete response with its body in memory.
 *
 * @param status status code
 * @param headers headers of the response
 * @param body complete body
 */
public record BufferedResponse(int status, HttpHeaders headers, byte[] body) {

    /**
     * Sends a call and buffers its response.
     *
     * @param timeout maximum time until the response is complete
     * @param maxBytes maximum size of the body, in bytes
     * @return control of the call, which allows cancelling it
     */
    public static CallControl fetch(
            HttpConnectionPool connections,
            Scheduler scheduler,
            HttpCall call,
            Duration timeout,
            int maxBytes,
            Consumer<Either<CallFailure, BufferedResponse>> receiver) {
        return fetch(connections, scheduler, call, timeout, maxBytes, head -> {}, receiver);
    }

    /**
     * Sends a call and buffers its response.
     *
     * @param timeout maximum time until the response is complete
     * @param maxBytes maximum size of the body, in bytes
     * @param onHead called with the head of the response, whether or not its body is complete later
     * @return control of the call, which allows cancelling it
     */
    public static CallControl fetch(
            HttpConnectionPool connections,
            Scheduler scheduler,
            HttpCall call,
            Duration timeout,
            int maxBytes,
            Consumer<HttpResponse> onHead,
            Consumer<Either<CallFailure, BufferedResponse>> receiver) {
        ResponseCollector collector = new ResponseCollector(maxBytes, onHead, receiver);
        CallControl control = connections.send(call, collector);
        collector.mControl = control;
        collector.mTimer =
                scheduler.schedule(
                        timeout,
                        () ->
                                collector.abort(
                                        "response incomplete after the timeout, in milliseconds: "
                                                + timeout.toMillis()));
        return collector;
    }

    /** Buffers the parts of one response. */
    private static final class ResponseCollector implements CallListener, CallControl {

        private final int mMaxBytes;
        private final Consumer<HttpResponse> mOnHead;
        private final Consumer<Either<CallFailure, BufferedResponse>> mReceiver;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private HttpResponse mHead;
        private CallControl mControl;
        private Scheduler.Timer mTimer;

        ResponseCollector(
                int maxBytes,
                Consumer<HttpResponse> onHead,
                Consumer<Either<CallFailure, BufferedResponse>> receiver) {
            mMaxBytes = maxBytes;
            mOnHead = onHead;
            mReceiver = receiver;
        }

        @Override
        public void onHead(HttpResponse head) {
            mHead = head;
            mOnHead.accept(head);
        }

        @Override
        public void onBody(ByteBuf data) {
            byte[] bytes = new byte[data.readableBytes()];
            data.readBytes(bytes);
            mBody.writeBytes(bytes);
            if (mBody.size() > mMaxBytes) {
                abort("the response body is larger than " + mMaxBytes + " bytes");
            }
        }

        @Override
        public void onEnd() {
            mTimer.cancel();
            mReceiver.accept(
                    Either.right(
                            new BufferedResponse(
                                    mHead.status().code(), mHead.headers(), mBody.toByteArray())));
        }

        @Override
        public void onFailure(CallFailure failure) {
            mTimer.cancel();
            mReceiver.accept(Either.left(failure));
        }

        @Override
        public void cancel() {
            mTimer.cancel();
            mControl.cancel();
        }

        @Override
        public void setReading(boolean reading) {
            mControl.setReading(reading);
        }

        private void abort(String detail) {
            cancel();
            mReceiver.accept(Either.left(new CallFailure(CallFailure.Kind.BROKEN, true, detail)));
        }
    }
}
