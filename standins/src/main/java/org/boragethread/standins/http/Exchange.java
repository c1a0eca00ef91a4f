package org.boragethread.standins.http;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ICloseType;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * One HTTP call and its answer. It is answered once: whole, as a stream, or by closing the
 * connection. Methods that answer return false once the caller is gone.
 */
public final class Exchange {

    private static final Logger LOGGER = LogManager.getLogger(Exchange.class);

    private final Request mRequest;
    private final Response mResponse;
    private final Connection<?> mConnection;
    private final String mMethod;
    private final String mPath;
    private final byte[] mBody;
    private final AtomicBoolean mEnded = new AtomicBoolean();
    private final AtomicReference<Runnable> mOnClosed = new AtomicReference<>(() -> {});
    private final CloseListener<Closeable, ICloseType> mCloseListener = this::onConnectionClosed;

    Exchange(Request request, Response response, byte[] body) {
        mRequest = request;
        mResponse = response;
        mConnection = request.getRequest().getConnection();
        mMethod = request.getMethod().getMethodString();
        mPath = request.getRequestURI();
        mBody = body;
        mConnection.addCloseListener(mCloseListener);
    }

    /** Returns the method, for example {@code GET}. */
    public String method() {
        return mMethod;
    }

    /** Returns the path without the query. */
    public String path() {
        return mPath;
    }

    /** Returns the whole body; callers must not change it. */
    public byte[] body() {
        return mBody;
    }

    /** Returns a header of the call. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(mRequest.getHeader(name));
    }

    /** Returns a query parameter of the call. */
    public Optional<String> query(String name) {
        return Optional.ofNullable(mRequest.getParameter(name));
    }

    /**
     * Returns a number from the query.
     *
     * @throws BadRequestException if the parameter is not a number
     */
    public long queryLong(String name, long absent) {
        return parse(name, query(name), absent);
    }

    /**
     * Returns a number from a header.
     *
     * @throws BadRequestException if the header is not a number
     */
    public long headerLong(String name, long absent) {
        return parse(name, header(name), absent);
    }

    /** Runs an action if the caller closes the connection before the call is answered. */
    public void onClosed(Runnable action) {
        mOnClosed.set(action);
        if (!mConnection.isOpen()) {
            onConnectionClosed(null, null);
            return;
        }
        listenForClose();
    }

    /** Answers the call. */
    public boolean answer(Answer answer) {
        if (!end()) {
            return false;
        }
        try {
            head(answer);
            mResponse.setContentLength(answer.body().length);
            mResponse.getOutputStream().write(answer.body());
            mResponse.resume();
            return true;
        } catch (IOException | RuntimeException e) {
            LOGGER.debug("answer to {} {} was not sent", mMethod, mPath, e);
            return false;
        }
    }

    /** Sends the head and the first half of an answer, then closes the connection. */
    public void answerHalf(Answer answer) {
        if (!end()) {
            return;
        }
        try {
            head(answer);
            mResponse.setContentLength(answer.body().length);
            mResponse.getOutputStream().write(answer.body(), 0, answer.body().length / 2);
            mResponse.flush();
        } catch (IOException | RuntimeException e) {
            LOGGER.debug("half answer to {} {} was not sent", mMethod, mPath, e);
        }
        mConnection.closeSilently();
    }

    /** Closes the connection without an answer. */
    public void abort() {
        if (end()) {
            mConnection.closeSilently();
        }
    }

    /** Starts a chunked answer; its body is ignored. */
    public boolean startStream(Answer answer) {
        if (mEnded.get()) {
            return false;
        }
        try {
            head(answer);
            mResponse.flush();
            return true;
        } catch (IOException | RuntimeException e) {
            LOGGER.debug("stream to {} {} was not started", mMethod, mPath, e);
            return false;
        }
    }

    /** Sends a part of a chunked answer at once. */
    public boolean write(byte[] part) {
        if (mEnded.get()) {
            return false;
        }
        try {
            mResponse.getOutputStream().write(part);
            mResponse.flush();
            return true;
        } catch (IOException | RuntimeException e) {
            LOGGER.debug("part of a stream to {} {} was not sent", mMethod, mPath, e);
            return false;
        }
    }

    /** Ends a chunked answer. */
    public boolean finish() {
        if (!end()) {
            return false;
        }
        try {
            mResponse.resume();
            return true;
        } catch (RuntimeException e) {
            LOGGER.debug("stream to {} {} was not ended", mMethod, mPath, e);
            return false;
        }
    }

    /** Reads on, so that the end of the connection is seen while the call is worked on. */
    private void listenForClose() {
        try {
            mConnection.enableIOEvent(IOEvent.READ);
        } catch (IOException e) {
            LOGGER.debug("connection of {} {} has ended", mMethod, mPath, e);
        }
    }

    private void head(Answer answer) {
        mResponse.setStatus(answer.status());
        mResponse.setContentType(answer.contentType());
        answer.headers().forEach(mResponse::setHeader);
    }

    private boolean end() {
        if (!mEnded.compareAndSet(false, true)) {
            return false;
        }
        mConnection.removeCloseListener(mCloseListener);
        return true;
    }

    private void onConnectionClosed(Closeable connection, ICloseType type) {
        if (end()) {
            mOnClosed.get().run();
        }
    }

    private static long parse(String name, Optional<String> text, long absent) {
        try {
            return text.map(Long::parseLong).orElse(absent);
        } catch (NumberFormatException e) {
            throw new BadRequestException("\"%s\" is not a number".formatted(name), e);
        }
    }
}
