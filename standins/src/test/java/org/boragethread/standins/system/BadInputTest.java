package org.boragethread.standins.system;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.upstream.UpstreamStats;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that bad input gets the right status and causes no call to an upstream. */
public final class BadInputTest {

    private static final int READ_TIMEOUT_MS = 10_000;
    private static final String GOOD_HEADERS = "Team: patrol\r\n";

    private Deployment mDeployment;

    @BeforeClass
    public void start() throws IOException {
        mDeployment =
                Deployment.start(
                        TestDeployments.standard()
                                .entrySettings(
                                        "[callers]\nmax_body_bytes = 2000\n"
                                                + "body_timeout_ms = 500\n"
                                                + "max_header_bytes = 4096")
                                .entry("entry-3", "florida")
                                .build());
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        if (mDeployment != null) {
            mDeployment.close();
        }
    }

    @DataProvider
    public Object[][] badRequests() {
        return new Object[][] {
            {"unknown pipeline", "nothing", GOOD_HEADERS, "x", 404, "unknown-pipeline"},
            {"unknown team", "lookup", "Team: nobody\r\n", "x", 403, "unknown-team"},
            {"no team", "lookup", "", "x", 403, "unknown-team"},
            {
                "deadline in words",
                "lookup",
                GOOD_HEADERS + "Deadline-Ms: soon\r\n",
                "x",
                400,
                "bad-request"
            },
            {
                "deadline of zero",
                "lookup",
                GOOD_HEADERS + "Deadline-Ms: 0\r\n",
                "x",
                400,
                "bad-request"
            },
            {
                "unknown priority",
                "lookup",
                GOOD_HEADERS + "Priority: now\r\n",
                "x",
                400,
                "bad-request"
            },
            {
                "malformed JSON",
                "lookup",
                GOOD_HEADERS + "Content-Type: application/json\r\n",
                "{\"span\":",
                400,
                "bad-request"
            },
            {"over-large body", "lookup", GOOD_HEADERS, "x".repeat(2001), 413, "body-too-large"},
        };
    }

    @Test(dataProvider = "badRequests")
    public void badRequestIsRefused(
            String name, String pipeline, String headers, String body, int status, String reason)
            throws IOException {
        long before = upstreamCalls();
        String answer = send(head(pipeline, headers, body.length()) + body);
        assertTrue(answer.startsWith("HTTP/1.1 " + status), name + ": " + answer);
        assertTrue(answer.contains("application/problem+json"), name + ": " + answer);
        assertTrue(answer.contains("\"reason\":\"" + reason + "\""), name + ": " + answer);
        assertTrue(answer.contains("\"ran\":\"no\""), name + ": " + answer);
        assertEquals(upstreamCalls(), before, name);
    }

    @Test
    public void halfSentBodyTimesOut() throws IOException {
        long before = upstreamCalls();
        String answer = send(head("lookup", GOOD_HEADERS, 100) + "half");
        assertTrue(answer.startsWith("HTTP/1.1 408"), answer);
        assertEquals(upstreamCalls(), before);
    }

    @Test
    public void oversizedHeadersAreRefused() throws IOException {
        long before = upstreamCalls();
        String headers = GOOD_HEADERS + "Filler: " + "x".repeat(8000) + "\r\n";
        String answer = send(head("lookup", headers, 1) + "x");
        assertTrue(answer.startsWith("HTTP/1.1 4"), answer);
        assertEquals(upstreamCalls(), before);
    }

    private static String head(String pipeline, String headers, int length) {
        return "POST /v1/pipelines/%s HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n"
                        .formatted(pipeline)
                + headers
                + "Content-Length: %d\r\n\r\n".formatted(length);
    }

    private String send(String request) throws IOException {
        String address = mDeployment.entries().get(2).callers();
        int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private long upstreamCalls() {
        List<UpstreamStats> stats =
                mDeployment.upstreams().stream().map(upstream -> upstream.stats()).toList();
        return stats.stream().mapToLong(UpstreamStats::calls).sum();
    }
}
