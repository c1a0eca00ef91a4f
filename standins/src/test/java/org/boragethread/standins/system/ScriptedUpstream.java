package org.boragethread.standins.system;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** An upstream that answers each request with the bytes of a script, or as a handler does. */
final class ScriptedUpstream implements AutoCloseable {

    private static final int BACKLOG = 50;
    private static final int ACCEPT_END_SECONDS = 5;

    private final Handler mHandler;
    private final int mPort;
    private volatile ServerSocket mServer;
    private final List<Socket> mConnections = new CopyOnWriteArrayList<>();
    private volatile CountDownLatch mAcceptEnded;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();

    /**
     * A request as the upstream received it.
     *
     * @param headers headers by their name in lower case
     */
    record Request(String path, Map<String, String> headers) {

        String id() {
            return headers.getOrDefault("x-boragethread-request-id", "");
        }
    }

    /** Responds to requests. */
    interface Handler {
        /**
         * Writes a response to a connection, and closes it if no further request may follow.
         *
         * @throws IOException if the gateway has closed the connection
         */
        void respond(Request request, Socket connection) throws IOException, InterruptedException;
    }

    ScriptedUpstream(Function<Request, ResponseScript> scripts) throws IOException {
        this(0, scripts);
    }

    /** Starts an upstream at a port; 0 for any. */
    ScriptedUpstream(int port, Function<Request, ResponseScript> scripts) throws IOException {
        this(port, (request, connection) -> send(scripts.apply(request), connection));
    }

    /** Starts an upstream at a port; 0 for any. */
    ScriptedUpstream(int port, Handler handler) throws IOException {
        mHandler = handler;
        mServer = listen(port);
        mPort = mServer.getLocalPort();
    }

    private ServerSocket listen(int port) throws IOException {
        ServerSocket server = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
        CountDownLatch ended = new CountDownLatch(1);
        mAcceptEnded = ended;
        mThreads.execute(() -> accept(server, ended));
        return server;
    }

    /** Refuses new connections; open ones stay. */
    void refuseConnections() throws IOException {
        mServer.close();
        awaitFreePort();
    }

    /** Accepts connections again after {@link #refuseConnections}. */
    void acceptConnections() throws IOException {
        mServer = listen(mPort);
    }

    int port() {
        return mPort;
    }

    String announcement(String group) {
        return announcement(group, "v1");
    }

    String announcement(String group, String softwareVersion) {
        return """
        {"service":"%s","address":"127.0.0.1:%d","zone":"north","state":"ready",
         "version":"%s","slots":64,"cold_left_ms":0,"seq":1}"""
                .formatted(group, mPort, softwareVersion);
    }

    private void accept(ServerSocket server, CountDownLatch ended) {
        while (!server.isClosed()) {
            try {
                Socket connection = server.accept();
                mConnections.add(connection);
                mThreads.execute(() -> serve(connection));
            } catch (IOException e) {
                if (!server.isClosed()) {
                    throw new IllegalStateException(e);
                }
            }
        }
        ended.countDown();
    }

    private void serve(Socket connection) {
        try {
            BufferedReader reader =
                    new BufferedReader(
                            new InputStreamReader(
                                    connection.getInputStream(), StandardCharsets.US_ASCII));
            while (!connection.isClosed()) {
                mHandler.respond(read(reader), connection);
            }
        } catch (IOException e) {
            // The gateway has closed the connection; the test checks what its caller saw.
            closeQuietly(connection);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Request read(BufferedReader reader) throws IOException {
        String path = readLine(reader).split(" ")[1];
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(reader); !line.isEmpty(); line = readLine(reader)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        long length = Long.parseLong(headers.getOrDefault("content-length", "0"));
        for (long i = 0; i < length; i++) {
            if (reader.read() < 0) {
                throw new IOException("the request ended inside its body");
            }
        }
        return new Request(path, headers);
    }

    private static String readLine(BufferedReader reader) throws IOException {
        String line = reader.readLine();
        if (line == null) {
            throw new IOException("the request ended inside its head");
        }
        return line;
    }

    private static void send(ResponseScript script, Socket connection)
            throws IOException, InterruptedException {
        OutputStream output = connection.getOutputStream();
        byte[] bytes = script.bytes();
        int pauseAt = script.pauseAt().orElse(bytes.length);
        output.write(Arrays.copyOfRange(bytes, 0, pauseAt));
        output.flush();
        if (pauseAt < bytes.length) {
            Thread.sleep(ResponseScript.PAUSE.toMillis());
            output.write(Arrays.copyOfRange(bytes, pauseAt, bytes.length));
            output.flush();
        }
        if (script.ending() == ResponseScript.Ending.STAY_OPEN) {
            return;
        }
        if (script.ending() == ResponseScript.Ending.RESET) {
            connection.setSoLinger(true, 0);
        }
        connection.close();
    }

    private static void closeQuietly(Socket connection) {
        try {
            connection.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        for (Socket connection : mConnections) {
            connection.close();
        }
        mThreads.shutdownNow();
        awaitFreePort();
    }

    /** The port is in use until the thread that accepts connections has returned. */
    private void awaitFreePort() {
        try {
            mAcceptEnded.await(ACCEPT_END_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
