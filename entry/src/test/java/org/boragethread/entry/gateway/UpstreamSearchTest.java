package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.member.PartitionLease;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.ChoiceRequest;
import org.boragethread.core.upstream.ColdRateShare;
import org.boragethread.core.upstream.RateLimitShare;
import org.boragethread.core.upstream.ResponseTimeModel;
import org.boragethread.core.upstream.UpstreamChooser;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link UpstreamSearch} while all upstreams of a group pause or leave. */
public class UpstreamSearchTest {

    private static final DataCentreId NORTH = new DataCentreId("north");
    private static final GroupId ORDERS = new GroupId("orders");
    private static final Duration PAUSE = Duration.ofSeconds(2);
    private static final int PARTITIONS = 12;
    private static final Duration LEASE_TIME = Duration.ofSeconds(5);

    private ManualTimeSource mTime;
    private UpstreamDirectory mDirectory;
    private UpstreamChooser mChooser;
    private RoutedGroup mGroup;
    private ChoiceRequest mChoice;
    private PartitionLease mLease;
    private RateLimitQueue mQueue;

    @BeforeMethod
    public void createGroup() {
        mTime = new ManualTimeSource();
        mDirectory = new UpstreamDirectory(mTime);
        for (int i = 0; i < 4; i++) {
            mDirectory.put(announcement("orders-" + i));
        }
        mQueue = new RateLimitQueue();
        mLease = new PartitionLease(mTime, PARTITIONS, LEASE_TIME);
        mChooser =
                new UpstreamChooser(
                        mDirectory,
                        mTime,
                        NORTH,
                        Map.of(NORTH, "region"),
                        new ColdRateShare(new ColdRateShare.ColdRateBound(1.5, 5), mLease),
                        new RateLimitShare(mLease, Duration.ofSeconds(3)));
        mGroup =
                new RoutedGroup(
                        ORDERS,
                        "/health",
                        110,
                        Duration.ZERO,
                        0,
                        Optional.empty(),
                        Optional.empty());
        mChoice = choiceWithout(Set.of());
    }

    private ChoiceRequest choiceWithout(Set<UpstreamNode> excluded) {
        return choice(excluded, Optional.empty());
    }

    private ChoiceRequest choice(Set<UpstreamNode> excluded, Optional<SoftwareVersion> version) {
        return new ChoiceRequest(
                mGroup,
                Set.of(),
                excluded,
                version,
                0,
                0,
                new ResponseTimeModel(),
                Set.of(),
                Optional.empty(),
                ChoiceRequest.REMOTE_MILLIS);
    }

    private static UpstreamAnnouncement announcement(String id) {
        return announcement(id, Optional.empty());
    }

    private static UpstreamAnnouncement announcement(String id, Optional<SoftwareVersion> version) {
        return new UpstreamAnnouncement(
                new UpstreamId(id),
                ORDERS,
                "10.0.0.1",
                80,
                NORTH,
                false,
                0,
                Optional.empty(),
                version);
    }

    private void pauseAll() {
        for (UpstreamNode node : mDirectory.of(ORDERS)) {
            node.pauseUntil(mTime.nanoTime() + PAUSE.toNanos());
        }
    }

    private Either<UpstreamSearch.Failure, Duration> search(
            Duration remaining, int priority, double jitter) {
        UpstreamSearch search = new UpstreamSearch(mChooser, mTime);
        search.start(mQueue, priority);
        return search.next(mChoice, remaining, jitter);
    }

    // Guards against a stream that ends because its upstreams are uncertain for a moment.
    @Test
    public void upstreamsThatAreUncertainForAMomentAreAwaited() {
        Optional<SoftwareVersion> version = Optional.of(new SoftwareVersion("v1"));
        mDirectory.replaceAll(List.of(announcement("orders-5", version)));
        UpstreamNode node = mDirectory.find(new UpstreamId("orders-5")).orElseThrow();
        node.doubtRun(mTime.nanoTime());
        ChoiceRequest choice = choice(Set.of(), version);
        UpstreamSearch search = new UpstreamSearch(mChooser, mTime);
        search.start(mQueue, 0);
        Duration waited = Duration.ZERO;
        while (waited.compareTo(VersionWait.MAX_TIME) < 0) {
            Duration delay = search.next(choice, Duration.ofSeconds(4).minus(waited), 0).get();
            mTime.advance(delay);
            waited = waited.plus(delay);
        }
        assertTrue(search.next(choice, Duration.ofSeconds(1), 0).isLeft());
        mDirectory.onUpToDate(mTime.nanoTime());
        assertEquals(mChooser.choose(choice), Optional.of(node));
    }

    // Guards against a search that goes on although its version is gone.
    @Test
    public void uncertainUpstreamsOfAnotherVersionAreNotAwaited() {
        mDirectory.replaceAll(
                List.of(announcement("orders-5", Optional.of(new SoftwareVersion("v2")))));
        mDirectory.find(new UpstreamId("orders-5")).orElseThrow().doubtRun(mTime.nanoTime());
        ChoiceRequest choice = choice(Set.of(), Optional.of(new SoftwareVersion("v1")));
        UpstreamSearch search = new UpstreamSearch(mChooser, mTime);
        search.start(mQueue, 0);
        assertTrue(search.next(choice, Duration.ofSeconds(4), 0).isLeft());
    }

    /** A burst meets a group that pauses as a whole: waiting callers all returned at one moment. */
    @Test
    public void requestsReturnAfterThePauseInTheOrderOfTheirPriority() {
        pauseAll();
        SplittableRandom random = new SplittableRandom(1);
        Duration latestOfMoreUrgent = PAUSE;
        for (int priority = 0; priority < 10; priority++) {
            Duration latest = Duration.ZERO;
            for (int i = 0; i < 50; i++) {
                Duration delay =
                        search(Duration.ofSeconds(10), priority, random.nextDouble()).get();
                assertTrue(delay.compareTo(latestOfMoreUrgent) >= 0);
                latest = delay.compareTo(latest) > 0 ? delay : latest;
            }
            latestOfMoreUrgent = latest;
        }
        assertTrue(latestOfMoreUrgent.compareTo(PAUSE.plusMillis(300)) < 0);
    }

    /** Requests that could not be served after the pause were held until their deadline. */
    @Test
    public void requestsWithAnEarlierDeadlineAreRefusedAtOnce() {
        pauseAll();
        Either<UpstreamSearch.Failure, Duration> result = search(Duration.ofSeconds(1), 0, 0.5);
        assertTrue(result.getLeft().retryAfter().compareTo(PAUSE) >= 0);
    }

    @Test
    public void firstUpstreamToReturnEndsThePause() {
        pauseAll();
        mDirectory.of(ORDERS).get(2).pauseUntil(mTime.nanoTime() + PAUSE.plusSeconds(5).toNanos());
        assertEquals(search(Duration.ofSeconds(10), 0, 0).get(), PAUSE);
        mTime.advance(PAUSE);
        assertTrue(mChooser.choose(mChoice).isPresent());
    }

    /** Callers waited for a group whose upstreams all leave. */
    @Test
    public void requestsAreRefusedAtOnceIfAllUpstreamsLeave() {
        mDirectory.of(ORDERS).forEach(UpstreamNode::markLeaving);
        assertTrue(search(Duration.ofSeconds(10), 0, 0).isLeft());
    }

    /** Callers waited for a third upstream when the only two had failed. */
    @Test
    public void requestsAreRefusedAtOnceIfEachUpstreamFailedOrLeaves() {
        Set<UpstreamNode> failed = new HashSet<>(mDirectory.of(ORDERS).subList(0, 3));
        mChoice = choiceWithout(failed);
        assertTrue(search(Duration.ofSeconds(10), 0, 0).isRight());
        mDirectory.of(ORDERS).get(3).markLeaving();
        assertTrue(search(Duration.ofSeconds(10), 0, 0).isLeft());
    }

    /** Lets all upstreams name a limit; this process has been alone for long, or has no share. */
    private void limitAll(double perSecond, boolean hasShare) {
        Set<Integer> partitions = new HashSet<>();
        for (int i = 0; i < PARTITIONS && hasShare; i++) {
            partitions.add(i);
        }
        mLease.renew(ClockReading.now(mTime), partitions);
        for (int i = 0; i < 60; i++) {
            mTime.advance(Duration.ofSeconds(1));
            mLease.renew(ClockReading.now(mTime), partitions);
        }
        long now = mTime.nanoTime();
        mDirectory
                .of(ORDERS)
                .forEach(node -> node.namedRateLimit().learn(OptionalDouble.of(perSecond), now));
    }

    private void sendAllThatIsAllowed() {
        for (int i = 0; i < 1000; i++) {
            mChooser.choose(mChoice).ifPresent(node -> node.onSent(mTime.nanoTime()));
        }
    }

    // Guards against requests that wait in vain for the share of another entry.
    @Test
    public void requestsAreRefusedAtOnceIfAllUpstreamsNameLimitsOfWhichThereIsNoShare() {
        limitAll(1, false);
        UpstreamSearch.Failure failure = search(Duration.ofSeconds(10), 0, 0).getLeft();
        assertTrue(failure.detail().contains("together to 4.0 a second"), failure.detail());
        assertEquals(failure.retryAfter(), RetryDelays.SHORT);
    }

    // Guards against requests that wait although those ahead use up what their time allows.
    @Test
    public void urgentRequestsGoFirstAndHopelessOnesAreRefusedAtOnce() {
        limitAll(0.25, true);
        sendAllThatIsAllowed();
        Duration deadline = Duration.ofSeconds(30);
        Duration first = search(deadline, 1, 0).get();
        Duration second = search(deadline, 1, 0).get();
        assertEquals(second.minus(first), Duration.ofSeconds(1));
        assertEquals(search(deadline, 0, 0).get(), first);
        Duration shorter = first.plusMillis(2500);
        assertTrue(search(shorter, 1, 0).isLeft());
        assertTrue(search(shorter, 0, 0).isRight());
    }

    @Test
    public void requestThatHasEndedLeavesTheQueue() {
        limitAll(0.25, true);
        sendAllThatIsAllowed();
        UpstreamSearch ended = new UpstreamSearch(mChooser, mTime);
        ended.start(mQueue, 0);
        Duration delay = ended.next(mChoice, Duration.ofSeconds(30), 0).get();
        ended.reset();
        assertEquals(search(Duration.ofSeconds(30), 0, 0).get(), delay);
    }

    /** A group without upstreams may be announced at any moment. */
    @Test
    public void requestsWaitForTheFirstUpstreamOfAGroup() {
        mDirectory.replaceAll(List.of());
        assertTrue(search(Duration.ofSeconds(10), 0, 0).isRight());
    }
}
