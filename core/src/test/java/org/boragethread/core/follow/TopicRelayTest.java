package org.boragethread.core.follow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.boragethread.core.callback.Supervisors;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link TopicRelay} and {@link RelayedTopic}. */
public class TopicRelayTest {

    private static final StoreEra ERA = new StoreEra(1);

    private ManualTimeSource mTime;
    private TopicRelay mRelay;
    private List<Either<ReadFailure, TopicRelay.Update>> mResponses;

    @BeforeMethod
    public void createRelay() {
        mTime = new ManualTimeSource();
        mRelay = new TopicRelay(mTime, (key, previous, value) -> Arrays.equals(previous, value));
        mResponses = new ArrayList<>();
    }

    private static KeyedRecord record(String key, String value) {
        return new KeyedRecord(-1, key, Optional.of(value.getBytes(StandardCharsets.UTF_8)));
    }

    private void startRelay() {
        mRelay.onSnapshot(10, ERA);
        mRelay.onUpToDate(10, ClockReading.now(mTime));
    }

    private List<String> relayedKeys(int response) {
        return mResponses.get(response).get().page().records().stream()
                .map(KeyedRecord::key)
                .toList();
    }

    @Test
    public void readerGetsTheNewestRecordOfEachChangedKey() {
        startRelay();
        mRelay.onRecords(10, List.of(record("a", "2"), record("b", "1"), record("a", "3")));
        mRelay.onUpToDate(13, ClockReading.now(mTime));
        mRelay.read(10, ERA, 0, mResponses::add);
        assertEquals(relayedKeys(0), List.of("b", "a"));
        RecordPage page = mResponses.get(0).get().page();
        assertEquals(page.nextOffset(), 13);
        assertEquals(page.records().get(1).value().get(), "3".getBytes(StandardCharsets.UTF_8));
    }

    /** Upstreams renew their announcements all the time. */
    @Test
    public void unchangedValuesAreNotPassedOn() {
        startRelay();
        mRelay.onRecords(10, List.of(record("a", "1")));
        mRelay.onRecords(11, List.of(record("a", "1"), record("b", "1")));
        mRelay.onUpToDate(13, ClockReading.now(mTime));
        mRelay.read(11, ERA, 0, mResponses::add);
        assertEquals(relayedKeys(0), List.of("b"));
    }

    /** A snapshot that is read in several parts contains changes from after its offset. */
    @Test
    public void readerGetsChangesThatTheSnapshotOfTheRelayContained() {
        FakeTopic topic = new FakeTopic();
        new TopicFollower(
                        topic,
                        mTime,
                        mTime,
                        new ReadTiming(Duration.ofSeconds(1), Duration.ZERO, Duration.ZERO),
                        new IgnoringListener(),
                        mRelay,
                        Supervisors.rethrowing())
                .start();
        mTime.advance(Duration.ofMillis(10));
        mRelay.read(10, ERA, 0, mResponses::add);
        assertEquals(relayedKeys(0), List.of("config"));
    }

    /** A topic whose key changed after the offset of the snapshot, which has the new value. */
    private final class FakeTopic implements CompactedTopic {

        @Override
        public void readSnapshotPart(
                Optional<String> after, Consumer<Either<ReadFailure, SnapshotPart>> callback) {
            callback.accept(
                    Either.right(
                            new SnapshotPart(List.of(record("config", "new")), false, 10, ERA)));
        }

        @Override
        public void read(
                long offset, Duration wait, Consumer<Either<ReadFailure, RecordPage>> callback) {
            List<KeyedRecord> records = offset == 10 ? List.of(record("config", "new")) : List.of();
            mTime.schedule(
                    Duration.ofMillis(5),
                    () ->
                            callback.accept(
                                    Either.right(RecordPage.ofStore(11, offset, records, ERA))));
        }
    }

    /** Ignores all content. */
    private static final class IgnoringListener implements TopicListener {

        @Override
        public void onStoreRestored() {}

        @Override
        public void onSnapshot(Map<String, byte[]> values) {}

        @Override
        public void onChange(String key, Optional<byte[]> value) {}

        @Override
        public void onUpToDate(ClockReading asOf) {}

        @Override
        public void onStoreUnavailable(String detail) {}

        @Override
        public void onStoreAvailable() {}
    }

    @Test
    public void readerThatHasSeenTheLastUpdateWaitsForTheNext() {
        startRelay();
        mRelay.read(10, ERA, 0, mResponses::add);
        mRelay.read(10, ERA, mResponses.get(0).get().update(), mResponses::add);
        assertEquals(mResponses.size(), 1);
        mTime.advance(Duration.ofMillis(500));
        mRelay.onUpToDate(10, ClockReading.now(mTime));
        assertEquals(mResponses.size(), 2);
        RecordPage page = mResponses.get(1).get().page();
        assertEquals(page.relayAge(), Optional.of(Duration.ofMillis(-500)));
    }

    @Test
    public void ageCountsFromTheReadOfTheStore() {
        startRelay();
        mTime.advance(Duration.ofMillis(700));
        mRelay.read(10, ERA, 0, mResponses::add);
        RecordPage page = mResponses.get(0).get().page();
        assertEquals(page.relayAge(), Optional.of(Duration.ofMillis(700)));
    }

    @Test
    public void readsAreRefusedOnceTheStoreCannotBeRead() {
        startRelay();
        mRelay.read(10, ERA, 1, mResponses::add);
        mRelay.stop();
        mRelay.read(10, ERA, 0, mResponses::add);
        assertTrue(mResponses.get(0).isLeft());
        assertTrue(mResponses.get(1).isLeft());
    }

    @Test
    public void readerThatMissedRecordsFromBeforeTheSnapshotIsRefused() {
        startRelay();
        mRelay.read(9, ERA, 0, mResponses::add);
        assertTrue(mResponses.get(0).isLeft());
    }

    /** A reader took offsets of the relay's era for offsets of its own. */
    @Test
    public void readerOfAnotherEraIsRefused() {
        startRelay();
        mRelay.read(10, new StoreEra(2), 0, mResponses::add);
        assertTrue(mResponses.get(0).isLeft());
        mRelay.read(10, ERA, 0, mResponses::add);
        assertEquals(mResponses.get(1).get().page().era(), ERA);
    }

    @Test
    public void cancelledReadGetsNoResponse() {
        startRelay();
        mRelay.read(10, ERA, 1, mResponses::add).cancel();
        mRelay.onUpToDate(10, ClockReading.now(mTime));
        assertTrue(mResponses.isEmpty());
    }

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[40][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {i % 2 == 0 ? 5 : 33, (long) i};
        }
        return seeds;
    }

    /**
     * A process that counts as up to date has every record that the store had accepted by then,
     * whoever passed it on, so that a revoked key is refused in time everywhere. Versions never go
     * back. The simulation checks both in each step.
     */
    @Test(dataProvider = "seeds")
    public void upToDateProcessesMissNoRecordUnderFailures(int processes, long seed) {
        RelaySimulation simulation = new RelaySimulation(processes, seed);
        simulation.runWithFailures(Duration.ofSeconds(60));
        simulation.runWithoutFailures(Duration.ofSeconds(12));
        assertTrue(
                simulation.greatestAge().compareTo(Duration.ofMillis(2200)) < 0,
                "age %s, versions %s".formatted(simulation.greatestAge(), simulation.versions()));
    }

    /** As above, while the store comes back from older copies of its records again and again. */
    @Test(dataProvider = "seeds")
    public void upToDateProcessesMissNoRecordWhenTheStoreIsRestored(int processes, long seed) {
        RelaySimulation simulation = new RelaySimulation(processes, seed);
        simulation.enableRestores();
        simulation.runWithFailures(Duration.ofSeconds(60));
        simulation.runWithoutFailures(Duration.ofSeconds(12));
        assertTrue(
                simulation.greatestAge().compareTo(Duration.ofMillis(2200)) < 0,
                "age %s, versions %s".formatted(simulation.greatestAge(), simulation.versions()));
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{5}, {33}, {300}};
    }

    @Test(dataProvider = "sizes")
    public void readsOfTheStoreDoNotGrowWithTheProcesses(int processes) {
        RelaySimulation simulation = new RelaySimulation(processes, 1);
        simulation.runWithoutFailures(Duration.ofSeconds(10));
        int before = simulation.storeReads();
        simulation.runWithoutFailures(Duration.ofSeconds(20));
        int reads = simulation.storeReads() - before;
        assertTrue(reads < 100, reads + " reads of the store in 20 s");
    }
}
