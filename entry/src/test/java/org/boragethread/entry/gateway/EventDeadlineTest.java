package org.boragethread.entry.gateway;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.ResponseTimeModel;
import org.boragethread.model.routing.RequestKind;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.WeightedGroup;
import org.boragethread.model.upstream.GroupId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against work for callers that have already given up. */
public class EventDeadlineTest {

    private static final SchedulingSettings SHARED =
            new SchedulingSettings(SchedulingSettings.Mode.SHARED, false);

    private OptionalLong mLastEventAt = OptionalLong.empty();

    private static Route route(RequestKind kind, int latencyMillis, int gapMillis) {
        return new Route(
                "chat",
                "host",
                "/",
                kind,
                Duration.ofSeconds(30),
                Duration.ofMillis(latencyMillis),
                Duration.ofMillis(gapMillis),
                0,
                List.of(new WeightedGroup(new GroupId("engines"), 1)),
                1,
                List.of(),
                true,
                false,
                true,
                Set.of());
    }

    private static AdmittedRequest admitted(Route route) {
        long target = route.targetLatency().toNanos();
        long deadline = route.timeout().toNanos();
        return new AdmittedRequest(
                route, Optional.empty(), deadline, target, true, 0, new int[0], 0, 0, 0, List.of());
    }

    private Duration end(SchedulingSettings settings, Route route) {
        EventDeadline deadline =
                new EventDeadline(settings, new ManualTimeSource(), 0, () -> mLastEventAt);
        return Duration.ofNanos(deadline.nanos(admitted(route)));
    }

    @DataProvider
    public Object[][] gaps() {
        return new Object[][] {{300, 200, 2000}, {1500, 300, 6000}, {500, 400, 3200}};
    }

    @Test(dataProvider = "gaps")
    public void callerOfAStreamGivesUpAfterTheLongestOfThreeGaps(int latency, int gap, int end) {
        mLastEventAt = OptionalLong.empty();
        Route route = route(RequestKind.STREAMING, latency, gap);
        assertEquals(end(SHARED, route), Duration.ofMillis(end));
        assertEquals(end(SchedulingSettings.local(), route), route.timeout());
    }

    @Test
    public void gapOfAResumedStreamBeginsWithItsLastEvent() {
        mLastEventAt = OptionalLong.of(Duration.ofSeconds(3).toNanos());
        Route route = route(RequestKind.STREAMING, 1500, 300);
        assertEquals(end(SHARED, route), Duration.ofSeconds(9));
    }

    @Test
    public void otherRequestsHaveTheirDeadlineOnly() {
        Route route = route(RequestKind.SAFE, 300, 200);
        assertEquals(end(SHARED, route), route.timeout());
    }

    /** The response needs some of the time until the caller gives up. */
    @Test
    public void stagesEndBeforeTheResponseMustBegin() {
        mLastEventAt = OptionalLong.empty();
        AdmittedRequest admitted = admitted(route(RequestKind.STREAMING, 1500, 300));
        ResponseTimeModel times = new ResponseTimeModel();
        EventDeadline deadline =
                new EventDeadline(SHARED, new ManualTimeSource(), 0, OptionalLong::empty);
        assertEquals(
                deadline.timeLeft(admitted, times).toNanos(),
                deadline.nanos(admitted) - admitted.expectedResponseNanos(times));
    }
}
