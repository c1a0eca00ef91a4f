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
 * A response that was collected whole.
 *
 * @param status status code
 * @param headers head of the response
 * @param body whole body
 */
public record WholeResponse(int status, HttpHeaders headers, byte[] body) {

    /**
     * Sends a call and collects its response.
     *
     * @param timeout time in which the response must be complete
     * @param maxBytes greatest size of the body
     * @return control over the call, to give it up
     */
    public static CallControl fetch(
            HttpConnections connections,
            Scheduler scheduler,
            HttpCall call,
            Duration timeout,
            int maxBytes,
            Consumer<Either<CallFailure, WholeResponse>> receiver) {
        Collector collector = new Collector(maxBytes, receiver);
        CallControl control = connections.send(call, collector);
        collector.mControl = control;
        collector.mTimer =
                scheduler.schedule(
                        timeout,
                        () -> collector.giveUp("no whole response within " + timeout.toMillis()));
        return collector;
    }

    /** Collects the parts of one response. */
    private static final class Collector implements CallListener, CallControl {

        private final int mMaxBytes;
        private final Consumer<Either<CallFailure, WholeResponse>> mReceiver;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private HttpResponse mHead;
        private CallControl mControl;
        private Scheduler.Timer mTimer;

        Collector(int maxBytes, Consumer<Either<CallFailure, WholeResponse>> receiver) {
            mMaxBytes = maxBytes;
            mReceiver = receiver;
        }

        @Override
        public void onHead(HttpResponse head) {
            mHead = head;
        }

        @Override
        public void onBody(ByteBuf data) {
            byte[] bytes = new byte[data.readableBytes()];
            data.readBytes(bytes);
            mBody.writeBytes(bytes);
            if (mBody.size() > mMaxBytes) {
                giveUp("the response is larger than " + mMaxBytes + " bytes");
            }
        }

        @Override
        public void onEnd() {
            mTimer.cancel();
            mReceiver.accept(
                    Either.right(
                            new WholeResponse(
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

        private void giveUp(String detail) {
            cancel();
            mReceiver.accept(Either.left(new CallFailure(CallFailure.Kind.BROKEN, true, detail)));
        }
    }
}
