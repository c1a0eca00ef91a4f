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
 * One HTTP request and its response. It is answered once: with a complete response, with a stream
 * or by closing the connection. Methods that send a response return false once the client has
 * disconnected.
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

    /** Returns the HTTP method, for example {@code GET}. */
    public String method() {
        return mMethod;
    }

    /** Returns the path without the query. */
    public String path() {
        return mPath;
    }

    /** Returns the complete request body; it must not be modified. */
    public byte[] body() {
        return mBody;
    }

    /** Returns a header of the request. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(mRequest.getHeader(name));
    }

    /** Returns a query parameter of the request. */
    public Optional<String> query(String name) {
        return Optional.ofNullable(mRequest.getParameter(name));
    }

    /**
     * Returns a query parameter as a number, or a default if it is absent.
     *
     * @throws BadRequestException if the parameter is not a number
     */
    public long queryLong(String name, long defaultValue) {
        return parse(name, query(name), defaultValue);
    }

    /**
     * Returns a header as a number, or a default if it is absent.
     *
     * @throws BadRequestException if the header is not a number
     */
    public long headerLong(String name, long defaultValue) {
        return parse(name, header(name), defaultValue);
    }

    /** Runs an action if the client closes the connection before the response is complete. */
    public void onClientDisconnected(Runnable action) {
        mOnClosed.set(action);
        if (!mConnection.isOpen()) {
            onConnectionClosed(null, null);
            return;
        }
        watchForClose();
    }

    /** Sends a complete response. */
    public boolean respond(StandInResponse response) {
        if (!end()) {
            return false;
        }
        try {
            setStatusAndHeaders(response);
            mResponse.setContentLength(response.body().length);
            mResponse.getOutputStream().write(response.body());
            mResponse.resume();
            return true;
        } catch (IOException | RuntimeException e) {
            LOGGER.debug("failed to send the response to {} {}", mMethod, mPath, e);
            return false;
        }
    }

    /** Sends the headers and the first half of the body, then closes the connection. */
    public void respondHalf(StandInResponse response) {
        if (!end()) {
            return;
        }
        try {
            setStatusAndHeaders(response);
            mResponse.setContentLength(response.body().length);
            mResponse.getOutputStream().write(response.body(), 0, response.body().length / 2);
            mResponse.flush();
        } catch (IOException | RuntimeException e) {
            LOGGER.debug("failed to send half of the response to {} {}", mMethod, mPath, e);
        }
        mConnection.closeSilently();
    }

    /** Closes the connection without a response. */
    public void abort() {
        if (end()) {
            mConnection.closeSilently();
        }
    }

    /** Sends the headers of a chunked response; the body of the argument is ignored. */
    public boolean startStream(StandInResponse response) {
        if (mEnded.get()) {
            return false;
        }
        try {
            setStatusAndHeaders(response);
            mResponse.flush();
            return true;
        } catch (IOException | RuntimeException e) {
            LOGGER.debug("failed to start the response stream of {} {}", mMethod, mPath, e);
            return false;
        }
    }

    /** Sends a part of a chunked response and flushes it. */
    public boolean write(byte[] chunk) {
        if (mEnded.get()) {
            return false;
        }
        try {
            mResponse.getOutputStream().write(chunk);
            mResponse.flush();
            return true;
        } catch (IOException | RuntimeException e) {
            LOGGER.debug("failed to send part of the response stream of {} {}", mMethod, mPath, e);
            return false;
        }
    }

    /** Ends a chunked response. */
    public boolean finishStream() {
        if (!end()) {
            return false;
        }
        try {
            mResponse.resume();
            return true;
        } catch (RuntimeException e) {
            LOGGER.debug("failed to end the response stream of {} {}", mMethod, mPath, e);
            return false;
        }
    }

    /** Keeps reading so that a close by the client is noticed while the request is processed. */
    private void watchForClose() {
        try {
            mConnection.enableIOEvent(IOEvent.READ);
        } catch (IOException e) {
            LOGGER.debug("connection of {} {} is closed", mMethod, mPath, e);
        }
    }

    private void setStatusAndHeaders(StandInResponse response) {
        mResponse.setStatus(response.status());
        mResponse.setContentType(response.contentType());
        response.headers().forEach(mResponse::setHeader);
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

    private static long parse(String name, Optional<String> text, long defaultValue) {
        try {
            return text.map(Long::parseLong).orElse(defaultValue);
        } catch (NumberFormatException e) {
            throw new BadRequestException("\"%s\" is not a number".formatted(name), e);
        }
    }
}
