package org.boragethread.core.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.boragethread.core.member.PartitionLease;
import org.boragethread.core.rollout.VersionRule;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.ColdRateShare.ColdRateBound;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that {@link UpstreamChooser} holds upstreams back that refuse connections. */
public class RefusedConnectionTest {

    private static final DataCentreId NORTH = new DataCentreId("north");
    private static final Duration LEASE_TIME = Duration.ofSeconds(5);
    private static final Duration ROUND_TRIP = Duration.ofMillis(1);
    private static final int DEAD = 6;

    private ManualTimeSource mTime;
    private UpstreamDirectory mDirectory;
    private UpstreamChooser mChooser;
    private RoutedGroup mGroup;

    @BeforeMethod
    public void makeChooser() {
        mTime = new ManualTimeSource();
        mDirectory = new UpstreamDirectory(mTime);
        mGroup =
                new RoutedGroup(
                        new GroupId("orders"),
                        "/health",
                        100,
                        Duration.ZERO,
                        0,
                        Optional.empty(),
                        Optional.empty());
        PartitionLease lease = new PartitionLease(mTime, 36, LEASE_TIME);
        mChooser =
                new UpstreamChooser(
                        mDirectory,
                        mTime,
                        NORTH,
                        Map.of(NORTH, "r1"),
                        new ColdRateShare(new ColdRateBound(1.5, 5), lease),
                        new RateLimitShare(lease, Duration.ofSeconds(3)));
        mDirectory.put(UpstreamEntries.of("sound", "orders", "north"));
        for (int i = 0; i < DEAD; i++) {
            mDirectory.put(UpstreamEntries.of("dead-" + i, "orders", "north"));
        }
        // An idle upstream is preferred to a busy one, so dead ones would be chosen again.
        sound().onSent(mTime.nanoTime());
    }

    private UpstreamNode sound() {
        return node("sound");
    }

    private UpstreamNode node(String id) {
        return mDirectory.all().stream()
                .filter(node -> node.entry().id().value().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private ChoiceRequest request(Set<UpstreamNode> excluded) {
        return new ChoiceRequest(
                mGroup,
                Set.of(),
                excluded,
                Optional.empty(),
                0,
                0,
                new ResponseTimeModel(),
                Set.of(),
                Optional.empty(),
                ChoiceRequest.REMOTE_MILLIS);
    }

    /** Tries upstreams for one request until one accepts, and returns how many refused. */
    private int send() {
        Set<UpstreamNode> refused = new HashSet<>();
        while (true) {
            UpstreamNode node = mChooser.choose(request(refused)).orElseThrow();
            if (node == sound()) {
                return refused.size();
            }
            refuse(node);
            refused.add(node);
        }
    }

    private void refuse(UpstreamNode node) {
        long sentAt = mTime.nanoTime();
        node.onSent(sentAt);
        mTime.advance(ROUND_TRIP);
        node.onConnectionRefused(sentAt, mTime.nanoTime(), Duration.ZERO);
        node.onEnded();
    }

    // Guards against requests that try dead upstreams again that others have just found.
    @Test
    public void eachDeadUpstreamIsFoundByOneRequestAndTriedAgainByOneAtATime() {
        assertEquals(send(), DEAD);
        assertEquals(send(), 0);
        mTime.advance(Duration.ofMillis(310));
        // All are due at once, but no request tries more than one of them.
        for (int i = 0; i < DEAD; i++) {
            assertEquals(send(), 1);
        }
        assertEquals(send(), 0);
    }

    // Guards against attempts at dead upstreams that never become rare, or never occur again.
    @Test
    public void backOffGrowsToABound() {
        UpstreamNode dead = node("dead-0");
        long previous = 0;
        for (int i = 0; i < 10; i++) {
            refuse(dead);
            long backOff = dead.avoidedUntil() - mTime.nanoTime();
            long expected = Math.min(300L << i, 4800);
            assertEquals(Duration.ofNanos(backOff).toMillis(), expected);
            assertTrue(backOff >= previous);
            previous = backOff;
            mTime.advance(Duration.ofNanos(backOff));
            assertFalse(dead.isHeldBack(mTime.nanoTime()));
        }
    }

    // Guards against many concurrent requests that make the first back-off the longest one.
    @Test
    public void refusalsOfConcurrentRequestsCountOnce() {
        UpstreamNode dead = node("dead-0");
        long sentAt = mTime.nanoTime();
        for (int i = 0; i < 10; i++) {
            mTime.advance(ROUND_TRIP);
            dead.onConnectionRefused(sentAt, mTime.nanoTime(), Duration.ZERO);
        }
        mTime.advance(Duration.ofMillis(300));
        assertFalse(dead.isHeldBack(mTime.nanoTime()));
    }

    // Guards against several requests that wait for the same upstream, which may not respond.
    @Test
    public void oneRequestAtATimeTriesAnUpstreamAgain() {
        UpstreamNode dead = node("dead-0");
        refuse(dead);
        mTime.advance(Duration.ofMillis(300));
        assertFalse(dead.isHeldBack(mTime.nanoTime()));
        dead.onSent(mTime.nanoTime());
        assertTrue(dead.isHeldBack(mTime.nanoTime()));
        mTime.advance(Duration.ofMillis(300));
        assertFalse(dead.isHeldBack(mTime.nanoTime()));
    }

    // Guards against requests that reach a dead upstream while a sound one asks for a pause.
    @Test
    public void deadUpstreamsAreTriedOnlyIfNoOtherOneIsLeft() {
        send();
        sound().pauseUntil(mTime.nanoTime() + Duration.ofMillis(200).toNanos());
        assertEquals(mChooser.choose(request(Set.of())), Optional.empty());
        assertTrue(mChooser.remainingPause(request(Set.of())).isPresent());
        assertFalse(mChooser.isCallable(request(Set.of()), node("dead-0")));
        ChoiceRequest last = request(Set.of(sound()));
        assertNotEquals(mChooser.choose(last), Optional.empty());
        sound().pauseUntil(mTime.nanoTime());
    }

    // Guards against a coordinator that places requests at upstreams that refuse connections.
    @Test
    public void deadUpstreamsAreUnusableForTheCoordinator() {
        send();
        Set<?> unusable = mChooser.unusable(request(Set.of())).orElseThrow();
        assertEquals(unusable.size(), DEAD);
        assertFalse(unusable.contains(sound().entry().id()));
    }

    /** Returns what shows that an upstream accepts connections again. */
    @DataProvider
    public Object[][] signs() {
        Consumer<UpstreamNode> connected = node -> node.onConnected(mTime.nanoTime());
        Consumer<UpstreamNode> laterStart = node -> announce(node, 2, "v1");
        Consumer<UpstreamNode> otherVersion = node -> announce(node, 1, "v2");
        Consumer<UpstreamNode> announcedAgain =
                node -> {
                    mDirectory.remove(node.entry().id());
                    mDirectory.put(node.entry());
                };
        return new Object[][] {{connected}, {laterStart}, {otherVersion}, {announcedAgain}};
    }

    private void announce(UpstreamNode node, long startedMillis, String version) {
        UpstreamAnnouncement entry = node.entry();
        mDirectory.put(
                new UpstreamAnnouncement(
                        entry.id(),
                        entry.group(),
                        entry.host(),
                        entry.port(),
                        entry.dataCentre(),
                        false,
                        0,
                        Optional.of(startedMillis),
                        Optional.of(new SoftwareVersion(version))));
    }

    // Guards against a sound upstream that is unused for the rest of a back-off.
    @Test(dataProvider = "signs")
    public void markEndsAtOnce(Consumer<UpstreamNode> sign) {
        UpstreamNode node = node("dead-0");
        long sentAt = mTime.nanoTime();
        refuse(node);
        mDirectory.put(node.entry());
        assertTrue(node.isHeldBack(mTime.nanoTime()));
        sign.accept(node);
        assertFalse(node.isRefusing());
        assertFalse(node.isAvoided(mTime.nanoTime()));
        // A connection that was attempted before says nothing about the upstream any more.
        mTime.advance(ROUND_TRIP);
        node.onConnectionRefused(sentAt, mTime.nanoTime(), Duration.ZERO);
        assertFalse(node.isRefusing());
    }

    // Guards against a data centre without power whose upstreams count as dead.
    @Test
    public void otherFailuresAreNoRefusals() {
        UpstreamNode node = node("dead-0");
        node.onFailure(mTime.nanoTime(), false, Duration.ZERO);
        assertTrue(node.isAvoided(mTime.nanoTime()));
        assertFalse(node.isRefusing());
    }

    // Guards against placements that are rejected although no better upstream is left.
    @Test
    public void deadUpstreamIsCallableIfAllAreDead() {
        send();
        refuse(sound());
        UpstreamNode chosen = mChooser.choose(request(Set.of())).orElseThrow();
        assertTrue(chosen.isHeldBack(mTime.nanoTime()));
        assertTrue(mChooser.isCallable(request(Set.of()), chosen));
        assertFalse(mChooser.isCallable(request(Set.of(chosen)), chosen));
    }

    // Guards against requests of a trial's share that all reach a dead upstream on trial.
    @Test
    public void trialDoesNotUseDeadUpstreamDuringItsBackOff() {
        UpstreamNode target = node("dead-0");
        announce(target, 1, "v2");
        send();
        VersionRule trial =
                VersionRule.trial(new SoftwareVersion("v2"), Set.of(target.entry().id()));
        assertEquals(mChooser.choose(request(Set.of()), trial), Optional.of(sound()));
        mTime.advance(Duration.ofMillis(310));
        assertEquals(mChooser.choose(request(Set.of()), trial), Optional.of(target));
    }
}
