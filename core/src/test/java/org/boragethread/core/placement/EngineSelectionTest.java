package org.boragethread.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.boragethread.core.callback.Supervisor;
import org.boragethread.core.callback.Supervisors;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.routing.EngineLimits;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which engines {@link PlacementCoordinator} uses, reserves and avoids. */
public class EngineSelectionTest {

    private static final long MILLI = 1_000_000;
    private static final long MEMORY = PlacementSimulation.LIMITS.cacheTokens();
    private static final UpstreamId FIRST = PlacementSimulation.status(0).id();
    private static final UpstreamId SECOND = PlacementSimulation.status(1).id();

    private ManualTimeSource mTime;
    private PlacementCoordinator mCoordinator;
    private List<EngineStatus> mEngines;
    private Map<PlacementKey, Object> mOutcomes;
    private boolean mDirectoryFails;
    private int mThrown;
    private int mRequests;

    @BeforeMethod
    public void makeCoordinator() {
        use(2, false);
    }

    private void use(int engines, boolean limitMemory) {
        mTime = new ManualTimeSource();
        mEngines = new ArrayList<>();
        for (int i = 0; i < engines; i++) {
            mEngines.add(PlacementSimulation.status(i));
        }
        mOutcomes = new HashMap<>();
        mDirectoryFails = false;
        mThrown = 0;
        mRequests = 0;
        Supervisor supervisor = Supervisors.reporting(thrown -> mThrown++);
        mCoordinator =
                new PlacementCoordinator(new Directory(), limitMemory, mTime, mTime, supervisor);
    }

    /** Lists the engines of the test, or throws. */
    private final class Directory implements EngineDirectory {
        @Override
        public Collection<EngineStatus> engines() {
            if (mDirectoryFails) {
                throw new IllegalStateException("test");
            }
            return List.copyOf(mEngines);
        }

        @Override
        public EngineLimits limits() {
            return PlacementSimulation.LIMITS;
        }
    }

    /** Records the outcome of one request. */
    private final class Recorder implements PlacementListener {
        private final PlacementKey mKey;

        Recorder(PlacementKey key) {
            mKey = key;
        }

        @Override
        public void onPlaced(Placement placement) {
            mOutcomes.put(mKey, placement);
        }

        @Override
        public void onRefused(PlacementRefusal refusal) {
            mOutcomes.put(mKey, refusal);
        }
    }

    private PlacementRequest.Builder request(int deadlineMillis) {
        return request("r" + mRequests++, 1, deadlineMillis);
    }

    private PlacementRequest.Builder request(String id, int attempt, int deadlineMillis) {
        long now = mTime.nanoTime();
        return PlacementRequest.builder(new PlacementKey("e", id, attempt))
                .tokens(2000, 100)
                .firstEventBy(now + deadlineMillis * MILLI, now + deadlineMillis * MILLI)
                .expiry(now + (deadlineMillis + 10_000) * MILLI);
    }

    private PlacementKey place(PlacementRequest.Builder builder) {
        PlacementRequest request = builder.build();
        mCoordinator.place(request, new Recorder(request.key()));
        return request.key();
    }

    private UpstreamId engine(PlacementKey key) {
        return mOutcomes.get(key) instanceof Placement placement ? placement.engine() : null;
    }

    private void advance(int millis) {
        mTime.advance(Duration.ofMillis(millis));
    }

    private void fail(String id, int attempt, PlacementFailure failure) {
        PlacementKey key = place(request(id, attempt, 9000).unusable(Set.of(SECOND)));
        assertEquals(engine(key), FIRST);
        mCoordinator.onFailed(key, failure);
    }

    /** Places two requests at once, and returns the engines that are used. */
    private Set<UpstreamId> usedByTwo() {
        UpstreamId one = engine(place(request(9000).tokens(6000, 100)));
        UpstreamId other = engine(place(request(9000).tokens(6000, 100)));
        return one == null || other == null || one.equals(other) ? Set.of() : Set.of(one, other);
    }

    // Guards against an idle engine that is kept for a request that it cannot serve in time, while
    // other requests wait.
    @Test
    public void engineThatIsTooSlowForARequestIsNotReservedForIt() {
        use(1, false);
        for (int millis : new int[] {120, 120, 120, 120, 700}) {
            PlacementKey key = place(request(9000));
            advance(millis);
            mCoordinator.onFirstEvent(key, Duration.ofMillis(millis));
            mCoordinator.onEnded(key);
        }
        PlacementKey tooSlow = place(request(260));
        assertNull(mOutcomes.get(tooSlow));
        assertEquals(engine(place(request(9000).priority(1))), FIRST);
    }

    // Guards against requests that wait for an avoided engine, or are refused as hopeless, although
    // they may use no other one.
    @Test
    public void avoidedEngineIsUsedIfThereIsNoOther() {
        fail("broken", 1, PlacementFailure.BROKEN);
        assertEquals(usedByTwo(), Set.of());
        assertEquals(engine(place(request(250).unusable(Set.of(SECOND)))), FIRST);
    }

    // Guards against a healthy engine that all entries avoid because of a request whose input is
    // lost, or whose attempts all fail.
    @Test
    public void engineIsNotAvoidedBecauseOfOneRequest() {
        fail("lost", 1, PlacementFailure.REFUSED);
        assertEquals(usedByTwo(), Set.of(FIRST, SECOND));
        use(2, false);
        for (int attempt = 1; attempt <= 3; attempt++) {
            fail("bad", attempt, PlacementFailure.FAILED);
        }
        assertEquals(usedByTwo(), Set.of(FIRST, SECOND));
    }

    // Guards against an engine that fails or refuses everything at once and therefore looks idle.
    @Test
    public void engineThatFailsOrRefusesSeveralRequestsIsAvoided() {
        for (PlacementFailure failure : PlacementFailure.values()) {
            use(2, false);
            fail("one", 1, failure);
            if (failure != PlacementFailure.BROKEN) {
                fail("other", 1, failure);
            }
            assertEquals(usedByTwo(), Set.of(), failure.name());
        }
    }

    // Guards against a sum of tokens that overflows and passes the limit of memory.
    @Test
    public void hugeOutputIsTooLarge() {
        use(1, true);
        PlacementKey huge = place(request(9000).tokens(2000, Long.MAX_VALUE));
        assertEquals(
                ((PlacementRefusal) mOutcomes.get(huge)).reason(),
                PlacementRefusal.Reason.TOO_LARGE);
        use(1, false);
        assertEquals(engine(place(request(9000).tokens(2000, Long.MAX_VALUE))), FIRST);
    }

    // Guards against engines whose memory is exceeded by requests that do not say how much they
    // generate.
    @Test
    public void unknownOutputCountsAsTheRestOfTheMemory() {
        use(1, true);
        PlacementKey unknown = place(request(9000).tokens(100, 0));
        mCoordinator.onFirstEvent(unknown, Duration.ofMillis(1));
        PlacementKey next = place(request(9000).tokens(100, 100));
        assertNull(mOutcomes.get(next));
        mCoordinator.onEnded(unknown);
        assertEquals(engine(next), FIRST);
    }

    // Guards against requests that are never answered after an exception in a timer callback.
    @Test
    public void waitingRequestsAreAnsweredAfterATimerThrew() {
        use(1, true);
        place(request(9000).tokens(100, MEMORY - 100));
        PlacementKey waits = place(request(1000).tokens(100, MEMORY - 100));
        mDirectoryFails = true;
        advance(200);
        assertEquals(mThrown > 0, true);
        mDirectoryFails = false;
        advance(2000);
        assertNotNull(mOutcomes.get(waits));
    }

    // Guards against a large request that keeps an engine that is gone, and is overtaken by small
    // ones at all others.
    @Test
    public void reservationOfAnEngineThatIsGoneIsReplaced() {
        use(2, true);
        PlacementKey small = place(request(9000).tokens(100, 1000).unusable(Set.of(SECOND)));
        PlacementKey medium = place(request(9000).tokens(100, 2000).unusable(Set.of(FIRST)));
        mCoordinator.onFirstEvent(small, Duration.ofMillis(1));
        mCoordinator.onFirstEvent(medium, Duration.ofMillis(1));
        PlacementKey large = place(request(8000).tokens(100, MEMORY - 100));
        assertNull(mOutcomes.get(large));
        mEngines.remove(0);
        mCoordinator.onEnginesChanged();
        PlacementKey later = place(request(9000).priority(1).tokens(100, 1000));
        assertNull(mOutcomes.get(later));
        mCoordinator.onEnded(medium);
        assertEquals(engine(large), SECOND);
    }

    // Guards against prompts that count as processed because an earlier one was restored after
    // them.
    @Test
    public void restoredPromptsAreProcessedInTheOrderInWhichTheyWereSent() {
        use(1, false);
        advance(100);
        PlacementRequest earlier = request(9000).tokens(20_000, 100).build();
        PlacementRequest later = request(9000).tokens(20_000, 100).build();
        long now = mTime.nanoTime();
        mCoordinator.restore(List.of(new HeldPlacement(later, FIRST, now - 10 * MILLI, false)));
        mCoordinator.restore(List.of(new HeldPlacement(earlier, FIRST, now - 90 * MILLI, false)));
        mCoordinator.onFirstEvent(earlier.key(), Duration.ofMillis(90));
        PlacementKey next = place(request(9000));
        assertNull(mOutcomes.get(next));
        mCoordinator.onFirstEvent(later.key(), Duration.ofMillis(10));
        assertEquals(engine(next), FIRST);
    }
}
