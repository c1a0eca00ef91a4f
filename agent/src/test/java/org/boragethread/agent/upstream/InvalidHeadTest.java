package org.boragethread.agent.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which heads of an upstream's responses are valid. */
public class InvalidHeadTest {

    private static final int WAIT_SECONDS = 10;
    private static final String OK = "HTTP/1.1 200 OK";
    private static final String LENGTH = "Content-Length: 4\r\n\r\nbody";

    private ServerSocket mServer;
    private GrizzlyUpstreamClient mClient;

    @BeforeMethod
    public void open() throws IOException {
        mServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        mClient =
                new GrizzlyUpstreamClient(
                        new InetSocketAddress(mServer.getInetAddress(), mServer.getLocalPort()),
                        Duration.ofSeconds(WAIT_SECONDS));
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        mClient.close();
        mServer.close();
    }

    /** Sends a request, responds to it with a text, and returns its outcome. */
    private String outcome(String response) throws Exception {
        String whole = outcome(response, response.length());
        assertEquals(outcome(response, 1), whole);
        return whole;
    }

    /** As {@link #outcome(String)}; the response is sent in pieces of some bytes. */
    private String outcome(String response, int pieceBytes) throws Exception {
        Recorder recorder = new Recorder();
        UpstreamRequest request =
                new UpstreamRequest("/", "text/plain", List.of(), ByteString.EMPTY, false);
        mClient.send(request, recorder);
        try (Socket connection = mServer.accept()) {
            connection.getInputStream().read();
            connection.setTcpNoDelay(true);
            send(connection, response.getBytes(StandardCharsets.ISO_8859_1), pieceBytes);
            return recorder.mOutcome.get(WAIT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static void send(Socket connection, byte[] response, int pieceBytes) {
        try {
            for (int i = 0; i < response.length; i += pieceBytes) {
                int length = Math.min(pieceBytes, response.length - i);
                connection.getOutputStream().write(response, i, length);
            }
            connection.shutdownOutput();
        } catch (IOException e) {
            // The client closes the connection at an invalid head; the test checks the outcome.
            return;
        }
    }

    @DataProvider
    private static Object[] invalidStatusCodes() {
        return new Object[] {"000", "099", "600", "999", "20", "+200", "-200", "20x"};
    }

    // Guards against a response of an upstream in trouble that counts as one, or as 'not run'.
    @Test(dataProvider = "invalidStatusCodes")
    public void responseWithAnInvalidStatusCodeFails(String code) throws Exception {
        String outcome = outcome("HTTP/1.1 " + code + " OK\r\nRan: no\r\n" + LENGTH);
        assertTrue(outcome.startsWith("failed"), outcome);
    }

    // Guards against a status code of which only the first digits are read.
    @Test
    public void responseWithAStatusCodeOfFourDigitsFails() throws Exception {
        String outcome = outcome("HTTP/1.1 2000 OK\r\n" + LENGTH);
        assertTrue(outcome.startsWith("failed"), outcome);
    }

    @DataProvider
    private static Object[] validStatusCodes() {
        return new Object[] {200, 204, 299, 404, 500, 599};
    }

    @Test(dataProvider = "validStatusCodes")
    public void responseWithAnyOtherStatusCodeIsDelivered(int code) throws Exception {
        String body = code == 204 ? "Content-Length: 0\r\n\r\n" : LENGTH;
        assertTrue(outcome("HTTP/1.1 " + code + " Any\r\n" + body).startsWith(code + " "));
    }

    @Test
    public void responseAfterAnInformationalOneIsDelivered() throws Exception {
        assertEquals(outcome("HTTP/1.1 100 Continue\r\n\r\n" + OK + "\r\n" + LENGTH), "200 body");
    }

    /** Records the response to a request, or its failure. */
    private static final class Recorder implements UpstreamListener {

        private final CompletableFuture<String> mOutcome = new CompletableFuture<>();
        private final StringBuilder mText = new StringBuilder();

        @Override
        public void onHead(UpstreamHead head) {
            mText.append(head.status()).append(' ');
        }

        @Override
        public boolean onData(ByteString data) {
            mText.append(data.toStringUtf8());
            return true;
        }

        @Override
        public boolean wantsMore() {
            return true;
        }

        @Override
        public void onEnd() {
            mOutcome.complete(mText.toString());
        }

        @Override
        public void onFailure(UpstreamFailure failure) {
            mOutcome.complete("failed " + mText + failure);
        }
    }
}
