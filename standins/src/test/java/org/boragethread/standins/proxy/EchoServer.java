package org.boragethread.standins.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A TCP server that sends back the bytes it receives. */
final class EchoServer implements AutoCloseable {

    private final ServerSocket mServer;

    EchoServer() throws IOException {
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                start(() -> echo(socket));
            }
        } catch (IOException ignored) {
            // The server socket has been closed.
        }
    }

    private static void echo(Socket socket) {
        try (socket) {
            socket.getInputStream().transferTo(socket.getOutputStream());
        } catch (IOException ignored) {
            // The peer has closed the connection.
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "echo");
        thread.setDaemon(true);
        thread.start();
    }
}
