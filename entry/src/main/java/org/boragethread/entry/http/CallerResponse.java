package org.boragethread.entry.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.apache.logging.log4j.CloseableThreadContext;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.pipeline.PipelineResponse;
import org.boragethread.core.pipeline.ResponseSink;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RequestId;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.http.server.Response;

/**
 * Writes the response of one request to its caller. The request serialises the calls of the sink.
 */
final class CallerResponse implements ResponseSink {

    private static final Logger LOGGER = LogManager.getLogger(CallerResponse.class);
    private static final byte[] END_EVENT =
            "event: end\ndata:\n\n".getBytes(StandardCharsets.UTF_8);

    private final Response mResponse;
    private final RequestId mId;
    private final String mTeam;
    private final RequestMetrics mMetrics;
    private final Runnable mOnFinished;
    private final Connection<?> mConnection;
    private boolean mStreaming;
    private boolean mFinished;
    private CloseListener<Closeable, CloseType> mCloseListener = (closed, type) -> {};

    CallerResponse(
            Response response,
            RequestId id,
            String team,
            RequestMetrics metrics,
            Runnable onFinished) {
        mResponse = response;
        mId = id;
        mTeam = team;
        mMetrics = metrics;
        mOnFinished = onFinished;
        mConnection = response.getRequest().getContext().getConnection();
    }

    /** Sets the action to run if the caller disconnects before the response is complete. */
    @SuppressWarnings("unchecked")
    void onDisconnect(Runnable action) {
        mCloseListener = (closed, type) -> action.run();
        mConnection.addCloseListener(mCloseListener);
    }

    @Override
    public synchronized void onResponse(PipelineResponse response) {
        mMetrics.answered();
        mResponse.setStatus(response.status());
        mResponse.setContentType(response.contentType());
        mResponse.setHeader("Ran", response.ran().name().toLowerCase(Locale.ROOT));
        write(response.body());
        finish();
    }

    @Override
    public synchronized void onStreamStart() {
        mStreaming = true;
        mResponse.setStatus(200);
        mResponse.setContentType("text/event-stream");
        mResponse.setHeader("Request-Id", mId.toString());
        mResponse.setHeader("Cache-Control", "no-store");
    }

    @Override
    public synchronized void onStreamEvent(ByteBuffer event, Runnable onSent) {
        if (mFinished) {
            return;
        }
        NIOOutputStream out = mResponse.getNIOOutputStream();
        try {
            byte[] bytes = new byte[event.remaining()];
            event.get(bytes);
            out.write(bytes);
            out.flush();
        } catch (IOException e) {
            LOGGER.debug("request {}: caller disconnected: {}", mId, e.getMessage());
            return;
        }
        if (out.canWrite()) {
            onSent.run();
        } else {
            out.notifyCanWrite(new Continuation(onSent));
        }
    }

    @Override
    public synchronized void onStreamEnd() {
        mMetrics.answered();
        writeRaw(END_EVENT);
        finish();
    }

    @Override
    public synchronized void onRefused(Refusal refusal) {
        if (mFinished) {
            return;
        }
        mMetrics.refused(refusal.reason());
        log(refusal);
        Problem problem = new Problem(refusal, mId);
        if (mStreaming) {
            String json = new String(problem.toJson(), StandardCharsets.UTF_8);
            writeRaw(("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8));
        } else {
            mResponse.setStatus(problem.getStatus());
            mResponse.setContentType(Problem.MEDIA_TYPE);
            problem.retryAfterSeconds()
                    .ifPresent(seconds -> mResponse.setHeader("Retry-After", seconds));
            write(problem.toJson());
        }
        finish();
    }

    /**
     * Logs a refusal at WARN level if a stage with an effect may have run, because an operator may
     * have to follow it up, and at DEBUG level otherwise.
     */
    private void log(Refusal refusal) {
        Level level = refusal.ran() == ExecutionStatus.NO ? Level.DEBUG : Level.WARN;
        if (!LOGGER.isEnabled(level)) {
            return;
        }
        try (var ignored =
                CloseableThreadContext.put("requestId", mId.toString()).put("team", mTeam)) {
            LOGGER.log(
                    level,
                    "refused: {}, ran {}: {}",
                    refusal.reason().label(),
                    refusal.ran(),
                    refusal.detail());
        }
    }

    private void write(byte[] body) {
        mResponse.setHeader("Request-Id", mId.toString());
        mResponse.setContentLength(body.length);
        writeRaw(body);
    }

    private void writeRaw(byte[] bytes) {
        try {
            mResponse.getNIOOutputStream().write(bytes);
        } catch (IOException e) {
            LOGGER.debug("request {}: caller disconnected: {}", mId, e.getMessage());
        }
    }

    /** Ends the response without sending anything, because the caller has disconnected. */
    synchronized void abandon() {
        if (!mFinished) {
            finish();
        }
    }

    @SuppressWarnings("unchecked")
    private void finish() {
        mFinished = true;
        mConnection.removeCloseListener(mCloseListener);
        if (mResponse.isSuspended()) {
            mResponse.resume();
        }
        mOnFinished.run();
    }

    /** Runs an action once the caller's connection can be written to again. */
    private static final class Continuation implements WriteHandler {

        private final Runnable mOnSent;

        Continuation(Runnable onSent) {
            mOnSent = onSent;
        }

        @Override
        public void onWritePossible() {
            mOnSent.run();
        }

        @Override
        public void onError(Throwable cause) {
            LOGGER.debug("caller disconnected: {}", cause.getMessage());
        }
    }
}
