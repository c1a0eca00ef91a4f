package org.boragethread.standins.system;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.locks.LockSupport;

/** Writes one request to a connection and reads its response as far as it goes. */
final class SoakExchange {

    private final Socket mConnection;
    private final StringBuilder mHead = new StringBuilder();
    private final StringBuilder mBody = new StringBuilder();
    private End mEnd = End.UNANSWERED;
    private long mBegun;
    private long mWritten;

    /** How a response ended. */
    enum End {
        WHOLE,
        CUT,
        UNANSWERED,
        TIMED_OUT
    }

    SoakExchange(Socket connection) {
        mConnection = connection;
    }

    /**
     * Sends a request with further lines of its head, and its body after a pause.
     *
     * @param pauseMillis time between the head and the body
     */
    SoakExchange run(SoakRoute route, String id, String headers, int pauseMillis) {
        String head =
                """
                POST %s HTTP/1.1\r
                Host: 127.0.0.1\r
                Authorization: Token key-1\r
                X-Boragethread-Request-Id: %s\r
                X-Boragethread-Token-Counts: 100,64\r
                Content-Length: 4\r
                %s\r
                """
                        .formatted(route.path(), id, headers);
        try {
            mBegun = System.nanoTime();
            if (pauseMillis > 0) {
                write(head);
                LockSupport.parkNanos(Duration.ofMillis(pauseMillis).toNanos());
                write("body");
            } else {
                write(head + "body");
            }
            mWritten = System.nanoTime();
            readResponse(mConnection.getInputStream());
            mEnd = End.WHOLE;
        } catch (SocketTimeoutException e) {
            mEnd = End.TIMED_OUT;
        } catch (IOException e) {
            mEnd = mHead.length() == 0 ? End.UNANSWERED : End.CUT;
        }
        return this;
    }

    private void write(String text) throws IOException {
        mConnection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void readResponse(InputStream input) throws IOException {
        while (mHead.indexOf("\r\n\r\n") < 0) {
            mHead.append(read(input));
        }
        String head = mHead.toString().toLowerCase(Locale.ROOT);
        if (head.contains("transfer-encoding: chunked")) {
            while (readChunk(input) > 0) {
                // The next chunk follows.
            }
            return;
        }
        String name = "content-length:";
        int start = head.indexOf(name);
        if (start < 0) {
            throw new IOException("a response without a length: " + head);
        }
        String length = head.substring(start + name.length(), head.indexOf('\r', start));
        readBody(input, Integer.parseInt(length.strip()));
    }

    private int readChunk(InputStream input) throws IOException {
        StringBuilder size = new StringBuilder();
        while (size.indexOf("\r\n") < 0) {
            size.append(read(input));
        }
        int length = Integer.parseInt(size.toString().strip(), 16);
        readBody(input, length);
        read(input);
        read(input);
        return length;
    }

    private void readBody(InputStream input, int length) throws IOException {
        for (int i = 0; i < length; i++) {
            mBody.append(read(input));
        }
    }

    private static char read(InputStream input) throws IOException {
        int next = input.read();
        if (next < 0) {
            throw new EOFException("the connection was closed");
        }
        return (char) next;
    }

    End end() {
        return mEnd;
    }

    /** Returns whether the connection may be used again. */
    boolean isOpen() {
        return mEnd == End.WHOLE
                && !mHead.toString().toLowerCase(Locale.ROOT).contains("connection: close");
    }

    /** Returns whether the request was written as a whole. */
    boolean isWritten() {
        return mWritten != 0;
    }

    /** Returns the time at which the request was begun, of {@link System#nanoTime}. */
    long begun() {
        return mBegun;
    }

    /** Returns the time at which the request was written, of {@link System#nanoTime}. */
    long written() {
        return mWritten;
    }

    /** Returns the status of the response, or 0 if it did not begin. */
    int status() {
        return mHead.length() < 12 ? 0 : Integer.parseInt(mHead.substring(9, 12));
    }

    String body() {
        return mBody.toString();
    }
}
