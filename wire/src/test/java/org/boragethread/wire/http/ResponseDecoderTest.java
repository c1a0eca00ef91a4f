package org.boragethread.wire.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which heads of responses are valid, in each place where a peer may send one. */
public class ResponseDecoderTest {

    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String BODY = "body";

    /** Where the lines of a head are sent. %s stands for a status code or for further lines. */
    private enum Place {
        WITH_LENGTH("%sContent-Length: 4\r\n\r\n" + BODY),
        WITHOUT_LENGTH("%s\r\n" + BODY),
        CHUNKED("%sTransfer-Encoding: chunked\r\n\r\n4\r\n" + BODY + "\r\n0\r\n\r\n"),
        WITHOUT_BODY("%sContent-Length: 0\r\n\r\n"),
        HEAD("%sContent-Length: 4\r\n\r\n"),
        BEFORE_FINAL_HEAD("%s\r\n" + OK + "Content-Length: 4\r\n\r\n" + BODY);

        final String mFormat;

        Place(String format) {
            mFormat = format;
        }

        String text(String lines) {
            return mFormat.formatted(lines);
        }
    }

    private static Iterator<Object[]> inEveryPlace(String... values) {
        List<Object[]> cases = new ArrayList<>();
        for (Place place : Place.values()) {
            for (String value : values) {
                cases.add(new Object[] {place, value});
            }
        }
        return cases.iterator();
    }

    /** Decodes a text that arrives in pieces of some bytes. */
    private static List<HttpObject> decode(String text, HttpMethod method, int pieceBytes) {
        ResponseDecoder decoder = new ResponseDecoder(() -> true);
        decoder.setMethod(method);
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < bytes.length; i += pieceBytes) {
            int length = Math.min(pieceBytes, bytes.length - i);
            channel.writeInbound(Unpooled.copiedBuffer(bytes, i, length));
        }
        channel.finish();
        List<HttpObject> objects = new ArrayList<>();
        for (Object next = channel.readInbound(); next != null; next = channel.readInbound()) {
            objects.add((HttpObject) next);
        }
        return objects;
    }

    private static List<List<HttpObject>> decodeWholeAndInPieces(Place place, String lines) {
        HttpMethod method = place == Place.HEAD ? HttpMethod.HEAD : HttpMethod.POST;
        String text = place.text(lines);
        return List.of(decode(text, method, text.length()), decode(text, method, 1));
    }

    private static void assertInvalid(Place place, String lines) {
        for (List<HttpObject> objects : decodeWholeAndInPieces(place, lines)) {
            boolean failed = objects.stream().anyMatch(part -> part.decoderResult().isFailure());
            assertTrue(failed, objects.toString());
            assertTrue(objects.get(0).decoderResult().isFailure(), "a part came before");
        }
    }

    private static void assertValid(Place place, String lines, int status) {
        for (List<HttpObject> objects : decodeWholeAndInPieces(place, lines)) {
            for (HttpObject part : objects) {
                assertFalse(part.decoderResult().isFailure(), part.toString());
            }
            assertEquals(((HttpResponse) objects.get(0)).status().code(), status);
            boolean hasBody = place != Place.WITHOUT_BODY && place != Place.HEAD;
            assertEquals(body(objects), hasBody ? BODY : "");
        }
    }

    private static String body(List<HttpObject> objects) {
        StringBuilder body = new StringBuilder();
        for (HttpObject part : objects) {
            if (part instanceof HttpContent content) {
                body.append(content.content().toString(StandardCharsets.ISO_8859_1));
            }
        }
        return body.toString();
    }

    @DataProvider
    private static Iterator<Object[]> invalidStatusCodes() {
        return inEveryPlace(
                "000",
                "001",
                "099",
                "600",
                "999",
                "0",
                "20",
                "2000",
                "0200",
                "00200",
                "-200",
                "+200",
                "20x",
                "2 00",
                "0x0",
                "\u00b2\u00b3\u00b9");
    }

    // Guards against a response of a peer in trouble that a caller receives as an answer.
    @Test(dataProvider = "invalidStatusCodes")
    public void responseWithAnInvalidStatusCodeIsRejected(Place place, String code) {
        assertInvalid(place, "HTTP/1.1 " + code + " OK\r\n");
    }

    @DataProvider
    private static Iterator<Object[]> invalidStatusLines() {
        return inEveryPlace(
                "HTTP/1.1",
                "HTTP/1.1 ",
                "HTTP/1.1 OK",
                "HTTP/1.1  ",
                "HTTP/1.1 1000 OK",
                "HTTP/1.1200 OK",
                "200 OK",
                "HTTP 200 OK",
                "HTTP/ 200 OK",
                "HTTP/1 200 OK",
                "HTTP/2.0 200 OK",
                "HTTP/0.9 200 OK",
                "HTTP/1.11 200 OK",
                "http/1.1 200 OK",
                "ICY/1.1 200 OK",
                "xHTTP/1.1 200 OK",
                "bodyHTTP/1.1 200 OK");
    }

    // Guards against a response after other bytes, or of another protocol, that counts as one.
    @Test(dataProvider = "invalidStatusLines")
    public void responseWithAnInvalidStatusLineIsRejected(Place place, String line) {
        assertInvalid(place, line + "\r\n");
    }

    @DataProvider
    private static Iterator<Object[]> validStatusCodes() {
        return inEveryPlace("100", "103", "200", "299", "300", "404", "418", "500", "599");
    }

    @Test(dataProvider = "validStatusCodes")
    public void responseWithAnyOtherStatusCodeIsValid(Place place, String code) {
        boolean informational = code.startsWith("1");
        if (informational == (place == Place.BEFORE_FINAL_HEAD)) {
            assertValid(place, "HTTP/1.1 " + code + " Any\r\n", Integer.parseInt(code));
        }
    }

    @Test
    public void reasonMayBeMissing() {
        assertValid(Place.WITH_LENGTH, "HTTP/1.1 200\r\n", 200);
        assertValid(Place.WITH_LENGTH, "HTTP/1.1 200 \r\n", 200);
        assertValid(Place.WITH_LENGTH, "HTTP/1.0 200 OK\r\n", 200);
    }

    @DataProvider
    private static Iterator<Object[]> invalidFields() {
        return inEveryPlace(
                "X Name: 1",
                "X\tName: 1",
                "X-Name : 1",
                "X-Name\t: 1",
                " X-Name: 1",
                "\tX-Name: 1",
                "Content Length: 2",
                "Content-Length : 2",
                " Content-Length: 2",
                "Transfer Encoding: chunked",
                "X\u0000Name: 1",
                "X-Name\u0001: 1",
                "\u0001X-Name: 1",
                "\u000bX-Name: 1",
                "X\u001fName: 1",
                "X\rName: 1",
                "X-Name\u007f: 1",
                "X-N\u00e4me: 1",
                "X(Name): 1",
                "\"X-Name\": 1",
                ": 1",
                "X-Name",
                "Two Words",
                "X-Name: a\u0000b",
                "X-Name: a\u0001b",
                "X-Name: a\u000bb",
                "X-Name: a\u007fb",
                "X-Name: a\rb");
    }

    // Guards against a broken response that is passed on, or whose body is read by other rules.
    @Test(dataProvider = "invalidFields")
    public void responseWithAnInvalidFieldNameIsRejected(Place place, String field) {
        String line = place == Place.BEFORE_FINAL_HEAD ? "HTTP/1.1 103 Early Hints\r\n" : OK;
        assertInvalid(place, line + field + "\r\n");
        assertInvalid(place, line + "X-First: 1\r\n" + field + "\r\n");
        assertInvalid(place, line + field + "\r\nX-Last: 1\r\n");
    }

    @DataProvider
    private static Iterator<Object[]> validFields() {
        return inEveryPlace(
                "!#$%&'*+-.^_`|~09azAZ: 1",
                "X: 1",
                "x-name:1",
                "X-Name: ",
                "X-Name:",
                "X-Name:  a b\tc : d \t",
                "X-Name: \u00e4",
                "Retry-After: 0");
    }

    @Test(dataProvider = "validFields")
    public void responseWithAnyOtherFieldIsValid(Place place, String field) {
        boolean informational = place == Place.BEFORE_FINAL_HEAD;
        String line = informational ? "HTTP/1.1 103 Early Hints\r\n" : OK;
        String lines = line + "X-First: 1\r\n" + field + "\r\n";
        assertValid(place, lines, informational ? 103 : 200);
        String name = field.substring(0, field.indexOf(':'));
        String value = field.substring(field.indexOf(':') + 1).strip();
        for (List<HttpObject> objects : decodeWholeAndInPieces(place, lines)) {
            assertEquals(((HttpResponse) objects.get(0)).headers().get(name), value);
        }
    }

    @DataProvider
    private static Object[] invalidTrailers() {
        return new Object[] {
            "X Name: 1",
            "X-Name : 1",
            " X-Name: 1",
            "X-First: 1\r\n X-Name: 1",
            "X-First: 1\r\n\tX-Name: 1",
            "X\u0001Name: 1",
            "X\u0000Name: 1",
            "X-N\u00e4me: 1",
            "X-Name: a\u0001b",
            "X-Name",
            ": 1"
        };
    }

    // Guards against a response that counts as whole though its end is broken.
    @Test(dataProvider = "invalidTrailers")
    public void responseWithAnInvalidTrailerFails(String field) {
        for (List<HttpObject> objects : decodeChunked(field)) {
            assertTrue(objects.get(objects.size() - 1).decoderResult().isFailure());
        }
    }

    @Test
    public void responseWithAnyOtherTrailerIsValid() {
        for (String field : List.of("!#$%&'*+-.^_`|~09azAZ: 1", "X-Name:")) {
            for (List<HttpObject> objects : decodeChunked(field)) {
                objects.forEach(part -> assertFalse(part.decoderResult().isFailure()));
                assertEquals(body(objects), BODY);
            }
        }
    }

    private static List<List<HttpObject>> decodeChunked(String trailer) {
        String text = Place.CHUNKED.text(OK);
        text = text.substring(0, text.length() - 2) + trailer + "\r\n\r\n";
        return List.of(
                decode(text, HttpMethod.POST, text.length()), decode(text, HttpMethod.POST, 1));
    }

    // Guards against a line of the body that counts as one of the head.
    @Test
    public void linesOfTheBodyMayBeAnything() {
        String body = " X Name: 1\r\n: 2\r\n\r\n";
        String text = OK + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        List<HttpObject> objects = decode(text + text, HttpMethod.POST, text.length());
        objects.forEach(part -> assertFalse(part.decoderResult().isFailure()));
        assertEquals(body(objects), body + body);
    }
}
