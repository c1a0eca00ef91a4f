package org.boragethread.agent.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import com.google.protobuf.ByteString;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what an upstream may write on a connection that is kept for the next request. */
public class IdleConnectionTest {

    private static final int WAIT_MILLIS = 10_000;
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

    private ServerSocket mServer;
    private GrizzlyUpstreamClient mClient;

    @BeforeMethod
    public void open() throws IOException {
        mServer = new ServerSocket(0, 2, InetAddress.getLoopbackAddress());
        mServer.setSoTimeout(WAIT_MILLIS);
        mClient =
                new GrizzlyUpstreamClient(
                        new InetSocketAddress(mServer.getInetAddress(), mServer.getLocalPort()),
                        Duration.ofMillis(WAIT_MILLIS));
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        mClient.close();
        mServer.close();
    }

    private ResponseRecorder send() {
        ResponseRecorder recorder = new ResponseRecorder();
        UpstreamRequest request =
                new UpstreamRequest("/", "text/plain", List.of(), ByteString.EMPTY, true);
        mClient.send(request, recorder);
        return recorder;
    }

    private static void respond(Socket connection, BufferedReader reader) throws IOException {
        for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
            assertNotNull(line);
        }
        write(connection, RESPONSE);
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static BufferedReader reader(Socket connection) throws IOException {
        connection.setSoTimeout(WAIT_MILLIS);
        return new BufferedReader(
                new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
    }

    @DataProvider
    private static Object[] extras() {
        return new Object[] {"x", "\r\n", "HTTP/1.1 503 Busy\r\nRan: n", RESPONSE};
    }

    // Guards against a copy of a response that is completed during the next request.
    @Test(dataProvider = "extras")
    public void connectionOnWhichBytesArriveWhileIdleIsClosed(String extra) throws Exception {
        ResponseRecorder first = send();
        try (Socket connection = mServer.accept()) {
            BufferedReader reader = reader(connection);
            respond(connection, reader);
            assertEquals(first.outcome(), "200 body");
            write(connection, extra);
            assertEquals(reader.read(), -1, "the connection is still open");
        }
    }

    @Test
    public void idleConnectionIsUsedAgain() throws Exception {
        ResponseRecorder first = send();
        try (Socket connection = mServer.accept()) {
            BufferedReader reader = reader(connection);
            respond(connection, reader);
            assertEquals(first.outcome(), "200 body");
            ResponseRecorder second = send();
            respond(connection, reader);
            assertEquals(second.outcome(), "200 body");
        }
    }
}
