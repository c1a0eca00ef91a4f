package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link UpstreamListener} beside records that cannot be used. */
public class UpstreamListenerTest {

    private static final String RECORD =
            """
            {"service":"orders","address":"127.0.0.1:%d","zone":"north","version":"v1","slots":4,
            "state":"ready",
            "cold_left_ms":%s,"born":%s,"seq":%d}""";

    private GatewayMetrics mMetrics;
    private ManualTimeSource mTime;
    private EventLoopGroup mLoops;
    private Gateway mGateway;
    private UpstreamListener mListener;

    @BeforeMethod
    public void create() {
        mMetrics = new GatewayMetrics();
        mTime = new ManualTimeSource();
        mLoops = new NioEventLoopGroup(1);
        mGateway = new Gateway(TestSettings.create(), mTime, mLoops.next(), mMetrics);
        mListener = new UpstreamListener(mGateway);
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] sound(int number) {
        return bytes(RECORD.formatted(1000 + number, "0", "7", 1));
    }

    /** Returns records of other writers. */
    @DataProvider
    private static Object[] foreign() {
        return new Object[] {
            RECORD.formatted(9, "1764936000000000000", "1", 1),
            RECORD.formatted(9, "1e308", "1", 1),
            RECORD.formatted(9, "\"soon\"", "1", 1),
            RECORD.formatted(9, "0", "1764936000000000000", 1),
            RECORD.formatted(9, "0", "1" + "0".repeat(30), 1),
            RECORD.formatted(99_999, "0", "1", 1),
            "{}",
            "null",
            "[[",
            "\u0000\u0001",
            "[".repeat(5000),
        };
    }

    private Set<String> known() {
        Set<String> ids = new TreeSet<>();
        mGateway.directory().all().forEach(node -> ids.add(node.entry().id().value()));
        return ids;
    }

    // Guards against a removal that is lost because another record of the snapshot cannot be used.
    @Test(dataProvider = "foreign")
    public void snapshotAppliesBesideARecordThatCannotBeUsed(String foreign) {
        Map<String, byte[]> before = new LinkedHashMap<>();
        for (int i = 0; i < 20; i++) {
            before.put("orders-" + i, sound(i));
        }
        mListener.onSnapshot(before);
        // At any place in the order of the records.
        Map<String, byte[]> after = new LinkedHashMap<>();
        after.put("a-foreign", bytes(foreign));
        for (int i = 5; i < 25; i++) {
            after.put("orders-" + i, sound(i));
        }
        after.put("z-foreign", bytes(foreign));
        after.put("not a name", bytes(foreign));
        mListener.onSnapshot(after);
        Set<String> expected = new TreeSet<>(after.keySet());
        expected.removeIf(key -> !key.startsWith("orders-"));
        assertEquals(known(), expected);
    }

    // Guards against a change that is lost, or an entry that is never ready or sure of versions.
    @Test(dataProvider = "foreign")
    public void changesApplyBesideARecordThatCannotBeUsed(String foreign) {
        mListener.onSnapshot(Map.of("a-foreign", bytes(foreign), "orders-1", sound(1)));
        mListener.onChange("b-foreign", Optional.of(bytes(foreign)));
        mListener.onChange("orders-2", Optional.of(sound(2)));
        mListener.onChange("orders-1", Optional.empty());
        assertEquals(known(), Set.of("orders-2"));
        mTime.advance(Duration.ofSeconds(3));
        mListener.onUpToDate(ClockReading.now(mTime));
        assertTrue(mGateway.directory().isSettled());
    }

    // Guards against an upstream that stays in use although its record no longer names one.
    @Test(dataProvider = "foreign")
    public void upstreamWhoseRecordIsReplacedByOneThatCannotBeUsedIsGone(String foreign) {
        mListener.onSnapshot(Map.of("orders-1", sound(1), "orders-2", sound(2)));
        mListener.onChange("orders-1", Optional.of(bytes(foreign)));
        assertEquals(known(), Set.of("orders-2"));
        mListener.onChange("orders-1", Optional.of(sound(1)));
        assertEquals(known(), Set.of("orders-1", "orders-2"));
    }

    // Guards against a log that is filled by the renewals of a record that cannot be used.
    @Test
    public void recordThatCannotBeUsedIsCountedOnceUntilItsReasonChanges() {
        for (int i = 0; i < 50; i++) {
            byte[] renewal = bytes(RECORD.formatted(9, "1e308", "1", i));
            mListener.onChange("foreign", Optional.of(renewal));
        }
        assertEquals(unusableCount(), 1.0);
        mListener.onChange("foreign", Optional.of(bytes("{}")));
        assertEquals(unusableCount(), 2.0);
        mListener.onChange("foreign", Optional.of(sound(1)));
        assertEquals(known(), Set.of("foreign"));
    }

    private double unusableCount() {
        List<String> lines =
                mMetrics.scrape()
                        .lines()
                        .filter(line -> line.startsWith("boragethread_gateway_unusable_records"))
                        .toList();
        return Double.parseDouble(lines.get(0).substring(lines.get(0).lastIndexOf(' ') + 1));
    }
}
