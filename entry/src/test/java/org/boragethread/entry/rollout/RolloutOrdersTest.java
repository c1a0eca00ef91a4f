package org.boragethread.entry.rollout;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.rollout.RolloutRequest;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.process.log.EventLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what entries take from the orders in the store. */
public class RolloutOrdersTest implements RolloutOrders.Receiver {

    private static final String KEY = "rollout/chat";
    private static final GroupId GROUP = new GroupId("chat");
    private static final Map<GroupId, RolloutRequest> ORDERED =
            Map.of(
                    GROUP,
                    new RolloutRequest(GROUP, new SoftwareVersion("v2"), Duration.ofSeconds(60)));

    private ManualTimeSource mTime;
    private RolloutOrders mOrders;
    private Map<GroupId, RolloutRequest> mRequests;

    @BeforeMethod
    public void create() {
        mTime = new ManualTimeSource();
        mRequests = Map.of();
        EventLog log = new EventLog(LogManager.getLogger(RolloutOrdersTest.class), mTime);
        mOrders = new RolloutOrders(this, mTime, mTime, log);
        mOrders.onSnapshot(Map.of(KEY, order("v2"), "config", order("v9")));
    }

    private static byte[] order(String target) {
        return "{\"service\":\"chat\",\"target\":\"%s\",\"period_s\":60}"
                .formatted(target)
                .getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void onRequests(Map<GroupId, RolloutRequest> requests) {
        mRequests = requests;
    }

    @Override
    public void onOrdersRead(ClockReading asOf) {}

    @Override
    public void onOrdersRestored() {}

    // Guards against a roll-out that ends because somebody wrote a record that can't be read.
    @Test
    public void malformedOrderChangesNothing() {
        mOrders.onChange(KEY, Optional.of(new byte[] {'{'}));
        assertEquals(mRequests, ORDERED);
        mOrders.onSnapshot(Map.of(KEY, new byte[] {'{'}));
        assertEquals(mRequests, ORDERED);
    }

    @Test
    public void removedOrderIsGone() {
        mOrders.onChange(KEY, Optional.empty());
        assertEquals(mRequests, Map.of());
    }

    @Test
    public void orderMissingInASnapshotIsGone() {
        mOrders.onSnapshot(Map.of());
        assertEquals(mRequests, Map.of());
    }

    // Guards against a roll-out that is rolled back because the store lost the order for a moment.
    @Test
    public void orderThatAnOlderCopyLacksStaysUntilItWouldBeWrittenAgain() {
        mOrders.onStoreRestored();
        mOrders.onSnapshot(Map.of());
        mTime.advance(Duration.ofSeconds(2));
        assertEquals(mRequests, ORDERED);
        mTime.advance(Duration.ofSeconds(1));
        assertEquals(mRequests, Map.of());
    }
}
