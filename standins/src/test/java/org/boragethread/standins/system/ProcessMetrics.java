package org.boragethread.standins.system;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads metrics from the Prometheus endpoint of a process. */
final class ProcessMetrics {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Pattern REVISION =
            Pattern.compile("(?m)^boragethread_config_revision(?:\\{\\})? (\\S+)$");
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private ProcessMetrics() {}

    /** Returns the configuration revision that a process exposes. */
    static long configRevision(String address) {
        String text = read(address);
        Matcher matcher = REVISION.matcher(text);
        if (!matcher.find()) {
            throw new IllegalStateException("the metrics have no configuration revision:\n" + text);
        }
        return (long) Double.parseDouble(matcher.group(1));
    }

    private static String read(String address) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + "/metrics"))
                        .timeout(TIMEOUT)
                        .build();
        try {
            return CLIENT.send(request, BodyHandlers.ofString()).body();
        } catch (IOException e) {
            throw new IllegalStateException("cannot read metrics at " + address, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
