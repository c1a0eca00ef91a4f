package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.Test;

/** Tests {@link RequestFingerprint}. */
public class RequestFingerprintTest {

    private static CallerRequest request(String id, HttpMethod method, String target, String body) {
        return new CallerRequest(
                id,
                method,
                target,
                new DefaultHttpHeaders().set("Deadline", id),
                Unpooled.copiedBuffer(body, StandardCharsets.UTF_8),
                0,
                ClockReading.now(new ManualTimeSource()));
    }

    private static long fingerprint(String target, String team, String body) {
        return RequestFingerprint.of(request("id", HttpMethod.POST, target, body), team);
    }

    @Test
    public void attemptsOfOneCallerHaveTheSameFingerprint() {
        long first = fingerprint("/a/b", "team", "body");
        CallerRequest second = request("other-id", HttpMethod.POST, "/a/b", "body");
        assertEquals(RequestFingerprint.of(second, "team"), first);
    }

    // Guards against a request that is taken for another one of which only a part is the same.
    @Test
    public void eachFieldMakesADifference() {
        long first = fingerprint("/a/b", "team", "body");
        assertNotEquals(fingerprint("/a/b?c", "team", "body"), first);
        assertNotEquals(fingerprint("/a/b", "other", "body"), first);
        assertNotEquals(fingerprint("/a/b", "team", "bodY"), first);
        assertNotEquals(fingerprint("/a/bteam", "", "body"), first);
        assertNotEquals(fingerprint("/a/b", "teambody", ""), first);
        CallerRequest get = request("id", HttpMethod.GET, "/a/b", "body");
        assertNotEquals(RequestFingerprint.of(get, "team"), first);
        CallerRequest same = request("id", HttpMethod.POST, "/a/b", "body");
        assertNotEquals(RequestFingerprint.withPrompt(same, "team", "a:1"), first);
    }
}
