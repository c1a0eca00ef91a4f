package org.boragethread.process.monitor;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link HttpServers} with requests over TCP connections. */
public class HttpServersTest {

    private static final int REQUESTS = 300;
    private static final int READ_TIMEOUT_MILLIS = 5000;
    private static final Duration BODY_TIMEOUT = Duration.ofMillis(200);

    private ExecutorService mExecutor;
    private HttpServer mServer;
    private InetSocketAddress mAddress;

    @BeforeMethod
    public void start() {
        mExecutor = Executors.newSingleThreadExecutor();
        mServer =
                HttpServers.create(
                        new InetSocketAddress("127.0.0.1", 0),
                        new EchoHandler(),
                        new BodyLimits(64, BODY_TIMEOUT),
                        2);
        mAddress = HttpServers.start(mServer);
    }

    @AfterMethod
    public void stop() {
        mServer.shutdownNow();
        mExecutor.shutdownNow();
    }

    @Test
    public void bodiesInASecondPacketAreReadOnAPersistentConnection() throws IOException {
        try (Socket socket = connect()) {
            for (int i = 0; i < REQUESTS; i++) {
                send(socket, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n");
                send(socket, "hello");
                assertTrue(readUntil(socket, "hello").startsWith("HTTP/1.1 200"));
            }
        }
    }

    @Test
    public void protocolUpgradeIsIgnored() throws IOException {
        try (Socket socket = connect()) {
            send(
                    socket,
                    "POST / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
                            + "Content-Length: 5\r\n\r\nhello");
            assertTrue(readUntil(socket, "hello").startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    public void slowBodyIsAnsweredWith408() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhe");
            assertTrue(readUntil(socket, "body-timeout").startsWith("HTTP/1.1 408"));
        }
    }

    @Test
    public void tooLongBodyReachesTheHandlerIncomplete() throws IOException {
        try (Socket socket = connect()) {
            send(socket, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\nhello");
            assertEquals(readUntil(socket, "unfinished").substring(9, 12), "413");
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(mAddress.getAddress(), mAddress.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    private static String readUntil(Socket socket, String expected) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf(expected) < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed after: " + text);
            }
            text.append((char) next);
        }
        return text.toString();
    }

    /** Responds with the request body, on another thread than the one that received the request. */
    private final class EchoHandler extends HttpHandler {

        @Override
        public void service(Request request, Response response) throws IOException {
            byte[] body = new byte[request.getNIOInputStream().readyData()];
            request.getNIOInputStream().read(body);
            boolean complete = request.getNIOInputStream().isFinished();
            response.suspend();
            mExecutor.execute(() -> respond(response, complete, body));
        }

        private void respond(Response response, boolean complete, byte[] body) {
            byte[] text = complete ? body : "unfinished".getBytes(StandardCharsets.US_ASCII);
            response.setStatus(complete ? 200 : 413);
            response.setContentLength(text.length);
            try {
                response.getNIOOutputStream().write(text);
            } catch (IOException e) {
                response.setStatus(500);
            }
            response.resume();
        }
    }
}
