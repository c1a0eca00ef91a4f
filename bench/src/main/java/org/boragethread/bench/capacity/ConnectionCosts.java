package org.boragethread.bench.capacity;

import com.sun.management.OperatingSystemMXBean;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.boragethread.core.config.ConfigStore;
import org.boragethread.core.dispatch.UpstreamLink;
import org.boragethread.core.time.SystemTimeSource;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.model.upstream.UpstreamLoad;
import org.boragethread.wire.client.AgentConnector;
import org.boragethread.wire.client.EntryIdentity;
import org.boragethread.wire.client.LinkListener;
import org.boragethread.wire.frame.ConfigSource;
import org.boragethread.wire.frame.SharedKey;
import org.boragethread.wire.frame.WireSettings;
import org.boragethread.wire.server.AgentIdentity;
import org.boragethread.wire.server.AgentServer;

/**
 * Measures idle connections between entries and an agent in one process, so every result is the sum
 * of both ends.
 */
final class ConnectionCosts {

    private static final int WARM_UP_CONNECTIONS = 400;
    private static final int[] CONNECTIONS = {50, 100, 200, 400};
    private static final Duration DRAIN = Duration.ofSeconds(1);
    private static final Duration PING_INTERVAL = Duration.ofMillis(100);
    private static final Duration WARM_UP = Duration.ofSeconds(4);
    private static final Duration MEASURED = Duration.ofSeconds(8);
    private static final DataCentreId DATA_CENTRE = new DataCentreId("florida");
    private static final double NANOS_PER_MICRO = 1e3;

    private final LineFit mHeap = new LineFit();
    private final LineFit mDirect = new LineFit();
    private final LineFit mCpu = new LineFit();
    private final EventLoopGroup mGroup = new NioEventLoopGroup(2);
    private final WireSettings mSettings =
            new WireSettings(
                    new SharedKey("0123456789abcdef"),
                    WireSettings.DEFAULT_MAX_FRAME_BYTES,
                    PING_INTERVAL,
                    WireSettings.DEFAULT_IDLE_TIMEOUT);

    void run() throws InterruptedException {
        measure(WARM_UP_CONNECTIONS);
        for (int connections : CONNECTIONS) {
            measure(connections);
        }
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        mHeap.print("heap, both ends", "connections", "bytes");
        mDirect.print("pooled direct memory, both ends", "connections", "bytes");
        mCpu.print("CPU, both ends, ping every 100 ms", "connections", "µs/s");
    }

    private void measure(int connections) throws InterruptedException {
        AgentServer server = server();
        InetSocketAddress address = server.start();
        List<AgentConnector> connectors = new ArrayList<>();
        for (int i = 0; i < connections; i++) {
            connectors.add(connector(address, i));
        }
        connectors.forEach(AgentConnector::start);
        Thread.sleep(WARM_UP.toMillis());
        if (!connectors.stream().allMatch(AgentConnector::isConnected)) {
            throw new IllegalStateException(
                    "not all of %d connections are up".formatted(connections));
        }
        mCpu.add(connections, cpuMicrosPerSecond());
        long usedBytes = HeapUsage.usedBytes();
        mDirect.add(connections, PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory());
        connectors.forEach(AgentConnector::close);
        server.close();
        connectors.clear();
        Thread.sleep(DRAIN.toMillis());
        mHeap.add(connections, usedBytes - HeapUsage.usedBytes());
    }

    private static double cpuMicrosPerSecond() throws InterruptedException {
        OperatingSystemMXBean system =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long cpu = system.getProcessCpuTime();
        long start = System.nanoTime();
        Thread.sleep(MEASURED.toMillis());
        double seconds = (System.nanoTime() - start) / 1e9;
        return (system.getProcessCpuTime() - cpu) / NANOS_PER_MICRO / seconds;
    }

    private AgentServer server() {
        return new AgentServer.Builder()
                .address(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .identity(
                        new AgentIdentity(
                                new UpstreamId("engine-1"), new GroupId("engines"), DATA_CENTRE, 1))
                .settings(mSettings)
                .config(source())
                .handler(call -> {})
                .load(() -> UpstreamLoad.UNKNOWN)
                .time(new SystemTimeSource())
                .group(mGroup)
                .build();
    }

    private AgentConnector connector(InetSocketAddress address, int number) {
        return new AgentConnector.Builder()
                .address(address)
                .identity(new EntryIdentity("entry-" + number, DATA_CENTRE))
                .settings(mSettings)
                .config(source())
                .time(new SystemTimeSource())
                .listener(new NoOpLinkListener())
                .group(mGroup)
                .random(new Random(number))
                .build();
    }

    private static ConfigSource source() {
        return ConfigSource.of(new ConfigStore(1, 1));
    }

    private static final class NoOpLinkListener implements LinkListener {

        @Override
        public void onUp(UpstreamLink link) {}

        @Override
        public void onDown(UpstreamLink link) {}
    }
}
