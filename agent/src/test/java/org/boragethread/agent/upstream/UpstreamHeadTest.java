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
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which heads of an upstream's responses are valid. */
public class UpstreamHeadTest {

    private static final int WAIT_SECONDS = 10;
    private static final String OK = "HTTP/1.1 200 OK";
    private static final String LENGTH = "Content-Length: 4\r\n\r\nbody";

    private static final String CHUNKED =
            OK + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";

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
        ResponseRecorder recorder = new ResponseRecorder();
        UpstreamRequest request =
                new UpstreamRequest("/", "text/plain", List.of(), ByteString.EMPTY, false);
        mClient.send(request, recorder);
        try (Socket connection = mServer.accept()) {
            connection.getInputStream().read();
            connection.setTcpNoDelay(true);
            send(connection, response.getBytes(StandardCharsets.ISO_8859_1), pieceBytes);
            return recorder.outcome();
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

    // Guards against a broken response that is reported as a closed connection.
    @Test
    public void failureSaysWhatIsNotValid() throws Exception {
        String status = outcome("HTTP/1.1 000 OK\r\n" + LENGTH);
        assertTrue(status.contains("the status code is not a number"), status);
        String name = outcome(OK + "\r\nBlank Name: 1\r\n" + LENGTH);
        assertTrue(name.contains("a header name is not a token"), name);
        assertTrue(name.contains("maybeSent=true"), name);
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

    @DataProvider
    private static Object[] invalidFields() {
        return new Object[] {
            "X Name: 1",
            "X-Name : 1",
            "Content Length: 2",
            "X\u0001Name: 1",
            "X\u0000Name: 1",
            "\u000bX-Name: 1",
            "X-Name\u007f: 1",
            "X(Name): 1",
            ": 1",
            "X-Name",
            "Two Words"
        };
    }

    // Guards against a broken response that is passed on, or whose body is read by other rules.
    @Test(dataProvider = "invalidFields")
    public void responseWithAnInvalidFieldNameFails(String field) throws Exception {
        String first = outcome(OK + "\r\n" + field + "\r\nRan: no\r\n" + LENGTH);
        assertTrue(first.startsWith("failed"), first);
        String last = outcome(OK + "\r\nRan: no\r\n" + field + "\r\n" + LENGTH);
        assertTrue(last.startsWith("failed"), last);
        String informational = "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n";
        String final200 = outcome(informational + OK + "\r\n" + LENGTH);
        assertTrue(final200.startsWith("failed"), final200);
        String trailer = outcome(CHUNKED + field + "\r\n\r\n");
        assertTrue(trailer.startsWith("failed"), trailer);
    }

    // Guards against a body that is read by a length that may belong to another header.
    @Test
    public void lineThatBeginsWithABlankDelimitsNoBody() throws Exception {
        for (String before : List.of("", "X-First: 1\r\n")) {
            String outcome = outcome(OK + "\r\n" + before + " " + LENGTH);
            assertTrue(outcome.startsWith("failed"), outcome);
        }
    }

    @DataProvider
    private static Object[] validFields() {
        return new Object[] {
            "!#$%&'*+-.^_`|~09azAZ: 1", "X-Name:", "X-Name: a b\tc : d", "Retry-After: 0"
        };
    }

    @Test(dataProvider = "validFields")
    public void responseWithAnyOtherFieldIsDelivered(String field) throws Exception {
        assertEquals(outcome(OK + "\r\n" + field + "\r\n" + LENGTH), "200 body");
        assertEquals(outcome(CHUNKED + field + "\r\n\r\n"), "200 body");
    }

    // Guards against a part of a response that counts as a complete one after a reset.
    @Test
    public void responseThatEndsWithItsConnectionFails() throws Exception {
        String outcome = outcome(OK + "\r\n\r\nbody");
        assertTrue(outcome.startsWith("failed"), outcome);
    }
}
