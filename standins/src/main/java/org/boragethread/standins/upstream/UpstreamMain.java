package org.boragethread.standins.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.boragethread.standins.http.Json;
import org.boragethread.standins.http.StandInProcess;
import org.kohsuke.args4j.Option;

/**
 * Runs upstreams in a process of their own. Prints {@code listening host:port NAME} for each, then
 * {@code control host:port} and {@code ready}.
 */
public final class UpstreamMain {

    @Option(name = "--name", usage = "name of the single upstream")
    private String mName = UpstreamSettings.DEFAULTS.name();

    @Option(name = "--kind", usage = "kind of the single upstream: plain, engine or orders")
    private String mKind = "plain";

    @Option(name = "--port", usage = "port of the single upstream, or 0 for a free one")
    private int mPort;

    @Option(
            name = "--upstream",
            usage = "settings of one upstream as a JSON object; may be repeated")
    private List<String> mUpstreams = new ArrayList<>();

    private UpstreamMain() {}

    /**
     * Starts the upstreams; they run until the process is stopped.
     *
     * @throws IOException if a port cannot be bound
     * @throws InterruptedException if the main thread is interrupted
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        UpstreamMain main = new UpstreamMain();
        StandInProcess.parse(main, args);
        UpstreamFleet fleet = UpstreamFleet.start(main.settings());
        for (Upstream upstream : fleet.upstreams()) {
            System.out.println("listening " + upstream.address() + " " + upstream.name());
        }
        System.out.println("control " + fleet.controlAddress());
        System.out.println("ready");
        StandInProcess.awaitSignal();
    }

    private List<UpstreamSettings> settings() {
        if (mUpstreams.isEmpty()) {
            Single single = new Single(mName, mKind.toUpperCase(Locale.ROOT), mPort);
            return List.of(merge(Json.MAPPER.valueToTree(single).toString()));
        }
        return mUpstreams.stream().map(UpstreamMain::merge).toList();
    }

    private static UpstreamSettings merge(String json) {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        return Json.merge(UpstreamSettings.DEFAULTS, bytes, UpstreamSettings.class);
    }

    /** Settings of a single upstream given as command-line options. */
    private record Single(String name, String kind, int port) {}
}
