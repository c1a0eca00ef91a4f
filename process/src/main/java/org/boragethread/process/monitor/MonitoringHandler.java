package org.boragethread.process.monitor;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.glassfish.grizzly.http.util.HttpStatus;

/** Handles {@code /healthz}, {@code /readyz} and {@code /metrics}. */
public final class MonitoringHandler extends HttpHandler {

    private final PrometheusMeterRegistry mRegistry;
    private final Readiness mReadiness;

    /** Creates a handler that serves the given metrics and readiness. */
    public MonitoringHandler(PrometheusMeterRegistry registry, Readiness readiness) {
        mRegistry = registry;
        mReadiness = readiness;
    }

    @Override
    public void service(Request request, Response response) throws IOException {
        switch (request.getRequestURI()) {
            case "/healthz" -> respondWithText(response, HttpStatus.OK_200, "ok\n");
            case "/readyz" -> respondWithReadiness(response);
            case "/metrics" -> {
                response.setContentType("text/plain; version=0.0.4; charset=utf-8");
                write(response, HttpStatus.OK_200, mRegistry.scrape());
            }
            default -> respondWithText(response, HttpStatus.NOT_FOUND_404, "nothing here\n");
        }
    }

    private void respondWithReadiness(Response response) throws IOException {
        Optional<String> obstacle = mReadiness.notReadyReason();
        if (obstacle.isEmpty()) {
            respondWithText(response, HttpStatus.OK_200, "ready\n");
        } else {
            respondWithText(response, HttpStatus.SERVICE_UNAVAILABLE_503, obstacle.get() + "\n");
        }
    }

    private static void respondWithText(Response response, HttpStatus status, String text)
            throws IOException {
        response.setContentType("text/plain; charset=utf-8");
        write(response, status, text);
    }

    private static void write(Response response, HttpStatus status, String text)
            throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        response.setStatus(status);
        response.setContentLength(bytes.length);
        response.getOutputStream().write(bytes);
    }
}
