package org.boragethread.entry.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.boragethread.core.upstream.ColdRateShare.ColdRateBound;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.platform.store.CodecClasses;
import org.boragethread.process.command.Command;
import org.boragethread.process.command.ExitCode;
import org.boragethread.process.settings.SettingsReader;
import org.boragethread.wire.http.BufferedResponse;
import org.boragethread.wire.http.HttpCall;

/**
 * Runs a sample gateway to load the classes that a gateway uses, so that the build can record them
 * in a class data sharing (CDS) archive. The archive makes a restarted process ready sooner and
 * saves CPU time.
 */
public final class LoadClassesCommand implements Command {

    private static final String SAMPLE_SETTINGS =
            """
            [gateway]
            name = "archive"
            data_centre = "here"
            listen = "127.0.0.1:1"
            readiness_listen = "127.0.0.1:2"
            peer_listen = "127.0.0.1:3"
            store = "127.0.0.1:4"
            """;

    private static final int REQUEST_COUNT = 20;
    private static final long REQUEST_INTERVAL_MILLIS = 50;

    @Override
    public String summary() {
        return "loads the gateway's classes and exits, to record a class data sharing archive";
    }

    @Override
    public int run() {
        try {
            runSampleGateway();
            return ExitCode.OK;
        } catch (Exception e) {
            System.err.println("failed to load the gateway's classes: " + e);
            return ExitCode.FAILED;
        }
    }

    private static void runSampleGateway() throws Exception {
        GatewaySettings.read(new SettingsReader("archive", SAMPLE_SETTINGS));
        CodecClasses.load();
        List<InetSocketAddress> addresses = freeAddresses(5);
        GatewayProcess process = new GatewayProcess(settings(addresses));
        process.start();
        process.execute(Gateway::warmUpPlacements);
        CountDownLatch responses = new CountDownLatch(REQUEST_COUNT);
        for (int i = 0; i < REQUEST_COUNT; i++) {
            InetSocketAddress address = addresses.get(i % 3);
            process.execute(gateway -> sendRequest(gateway, address, responses));
            Thread.sleep(REQUEST_INTERVAL_MILLIS);
        }
        responses.await(2, TimeUnit.SECONDS);
        process.stop();
    }

    private static void sendRequest(
            Gateway gateway, InetSocketAddress address, CountDownLatch responses) {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.GET, "/metrics", Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, "h");
        HttpCall call =
                new HttpCall(address, request, false, Duration.ofSeconds(1), Optional.empty());
        BufferedResponse.fetch(
                gateway.connections(),
                gateway.scheduler(),
                call,
                Duration.ofSeconds(1),
                1 << 20,
                response -> responses.countDown());
    }

    private static List<InetSocketAddress> freeAddresses(int count) throws Exception {
        List<ServerSocket> sockets = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0);
            sockets.add(socket);
            addresses.add(new InetSocketAddress("127.0.0.1", socket.getLocalPort()));
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return addresses;
    }

    private static GatewaySettings settings(List<InetSocketAddress> addresses) {
        return new GatewaySettings(
                "archive",
                new DataCentreId("here"),
                Map.of(),
                addresses.get(0),
                addresses.get(1),
                Optional.of(addresses.get(2)),
                addresses.get(3),
                100,
                addresses.get(4),
                1,
                Duration.ofSeconds(2),
                Duration.ofSeconds(5),
                Duration.ofSeconds(3),
                Duration.ofMinutes(10),
                Duration.ofSeconds(1),
                new GatewaySettings.RetryBound(0.2, 10, Duration.ofSeconds(10)),
                new ColdRateBound(1, 1),
                SchedulingSettings.local(),
                Optional.empty());
    }
}
