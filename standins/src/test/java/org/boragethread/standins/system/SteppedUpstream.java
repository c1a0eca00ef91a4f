package org.boragethread.standins.system;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;

/** An upstream whose responses a test writes step by step. */
final class SteppedUpstream implements AutoCloseable {

    private static final int BACKLOG = 50;

    private final ServerSocket mServer;
    private final Consumer<Call> mOnCall;
    private final List<Socket> mConnections = new CopyOnWriteArrayList<>();
    private final ExecutorService mThreads = Executors.newCachedThreadPool();

    /** Starts an upstream that passes on each call whose request has arrived. */
    SteppedUpstream(Consumer<Call> onCall) throws IOException {
        mOnCall = onCall;
        mServer = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        mThreads.execute(this::accept);
    }

    String announcement(String group, String softwareVersion) {
        return """
        {"service":"%s","address":"127.0.0.1:%d","zone":"north","state":"ready",
         "version":"%s","slots":64,"cold_left_ms":0,"seq":1}"""
                .formatted(group, mServer.getLocalPort(), softwareVersion);
    }

    /** Refuses further connections; open ones stay. */
    void refuseConnections() throws IOException {
        mServer.close();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket connection = mServer.accept();
                mConnections.add(connection);
                mThreads.execute(() -> read(connection));
            } catch (IOException e) {
                if (!mServer.isClosed()) {
                    throw new IllegalStateException(e);
                }
            }
        }
    }

    private void read(Socket connection) {
        try {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    connection.getInputStream(), StandardCharsets.US_ASCII));
            Map<String, String> headers = new HashMap<>();
            String requestLine = reader.readLine();
            if (requestLine == null) {
                return;
            }
            for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
                int colon = line.indexOf(':');
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip());
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            reader.skip(length);
            mOnCall.accept(new Call(this, headers, connection, reader));
        } catch (IOException e) {
            // The gateway has closed the connection; the test checks what its caller received.
            return;
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        for (Socket connection : mConnections) {
            connection.close();
        }
        mThreads.shutdownNow();
    }

    /**
     * A call whose response the test writes.
     *
     * @param headers headers by their name in lower case
     */
    record Call(
            SteppedUpstream upstream,
            Map<String, String> headers,
            Socket connection,
            BufferedReader reader) {

        String id() {
            return headers.getOrDefault("x-boragethread-request-id", "");
        }

        /** Writes a part of the response; without effect once the gateway has closed the call. */
        void write(String text) {
            try {
                connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                // The gateway has closed the connection; the test checks what its caller received.
                return;
            }
        }

        /** Ends the response. */
        void end() throws IOException {
            connection.close();
        }

        /** Resets the connection. */
        void reset() throws IOException {
            connection.setSoLinger(true, 0);
            connection.close();
        }

        /** Waits until the gateway closes the connection. */
        void awaitCancelled() throws IOException {
            connection.setSoTimeout((int) TestGateway.TIMEOUT.toMillis());
            try {
                while (reader.read() >= 0) {
                    continue;
                }
            } catch (java.net.SocketException e) {
                // A reset is an end too.
                return;
            }
        }
    }
}
