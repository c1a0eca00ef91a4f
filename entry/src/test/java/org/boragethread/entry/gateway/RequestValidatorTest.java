package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link RequestValidator} and {@link ForwardedHeaders}. */
public class RequestValidatorTest {

    private static HttpRequest request(String target, String... headers) {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, target);
        for (int i = 0; i < headers.length; i += 2) {
            request.headers().add(headers[i], headers[i + 1]);
        }
        return request;
    }

    @DataProvider
    public Object[][] good() {
        return new Object[][] {
            {request("/a", "Host", "h")},
            {request("/a", "Host", "h", "Content-Length", "3")},
            {request("/a", "Host", "h", "Transfer-Encoding", "chunked")},
        };
    }

    @Test(dataProvider = "good")
    public void validRequestsHaveNoProblem(HttpRequest request) {
        assertFalse(RequestValidator.findProblem(request).isPresent());
    }

    @DataProvider
    public Object[][] bad() {
        return new Object[][] {
            {request("/a")},
            {request("/a", "Host", "h", "Host", "i")},
            {request("http://h/a", "Host", "h")},
            {request("/a", "Host", "h", "Content-Length", "3", "Transfer-Encoding", "chunked")},
            {request("/a", "Host", "h", "Content-Length", "3", "Content-Length", "3")},
            {request("/a", "Host", "h", "Transfer-Encoding", "xchunked")},
            {request("/a", "Host", "h", "Transfer-Encoding", "gzip, chunked")},
        };
    }

    @Test(dataProvider = "bad")
    public void ambiguousRequestsAreDetected(HttpRequest request) {
        assertEquals(RequestValidator.findProblem(request).isPresent(), true);
    }

    @Test
    public void apiKeyAndSystemHeadersAreNotForwarded() {
        HttpHeaders headers =
                new DefaultHttpHeaders()
                        .add("Authorization", "Token secret")
                        .add("X-Boragethread-Tenant", "forged")
                        .add("X-Boragethread-Hold", "forged")
                        .add("Connection", "keep-alive, x-hop, X-Boragethread-Model")
                        .add("X-Boragethread-Model", "m")
                        .add("Accept", "*/*");
        HttpHeaders forwarded = ForwardedHeaders.ofRequest(headers);
        assertEquals(forwarded.get("Accept"), "*/*");
        assertEquals(forwarded.get("X-Boragethread-Model"), "m");
        assertEquals(forwarded.size(), 2);
    }

    @Test
    public void otherAuthorizationSchemesAreForwarded() {
        HttpHeaders headers = new DefaultHttpHeaders().add("Authorization", "Basic abc");
        assertEquals(ForwardedHeaders.ofRequest(headers).get("Authorization"), "Basic abc");
    }
}
