package org.boragethread.core.follow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.boragethread.core.callback.Supervisors;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests followers of a topic of which one callback throws. */
public class ThrowingTopicListenerTest {

    private static final Duration RETRY = Duration.ofMillis(50);
    private static final ReadTiming TIMING =
            new ReadTiming(Duration.ofMillis(1000), Duration.ofMillis(100), RETRY);
    private static final Duration LEASE = Duration.ofMillis(800);

    private ManualTimeSource mTime;
    private List<Throwable> mReports;
    private Topic mTopic;
    private Recorder mThrowing;
    private Recorder mOther;
    private FreshnessLease mLease;

    @BeforeMethod
    public void create() {
        mTime = new ManualTimeSource();
        mReports = new ArrayList<>();
        mTopic = new Topic();
        mThrowing = new Recorder();
        mOther = new Recorder();
        mLease = new FreshnessLease(mTime, LEASE);
        mTopic.put("a", "1");
        new TopicFollower(
                        mTopic,
                        mTime,
                        mTime,
                        TIMING,
                        new TopicListeners(List.of(mThrowing, mOther)),
                        new TopicRelay(mTime, (key, previous, value) -> false),
                        Supervisors.reporting(mReports::add))
                .start();
    }

    private void run(int millis) {
        // A failure that nobody handles must not end the simulated event loop.
        for (int i = 0; i < millis; i++) {
            try {
                mTime.advance(Duration.ofMillis(1));
            } catch (RuntimeException | Error ignored) {
                // Its consequences are checked.
            }
        }
    }

    /** Returns each method of the listener with each kind of exception. */
    @DataProvider
    public Object[][] failures() {
        List<Object[]> failures = new ArrayList<>();
        for (String method :
                List.of("snapshot", "change", "up-to-date", "unavailable", "available")) {
            failures.add(new Object[] {method, new IllegalStateException(method)});
            failures.add(new Object[] {method, new StackOverflowError(method)});
        }
        failures.add(new Object[] {"restored", new IllegalStateException("restored")});
        return failures.toArray(Object[][]::new);
    }

    // Guards against an entry that decides on old content for ever because a listener threw once.
    @Test(dataProvider = "failures")
    public void contentIsCompleteAfterOneFailure(String method, Throwable cause) {
        run(500);
        mThrowing.throwOnce(method, cause);
        mTopic.put("b", "1");
        mTopic.mUnreachable = true;
        run(200);
        mTopic.mUnreachable = false;
        mTopic.mEra = new StoreEra(2);
        run(300);
        mTopic.put("c", "1");
        run(2000);
        Map<String, String> expected = Map.of("a", "1", "b", "1", "c", "1");
        assertEquals(mThrowing.mValues, expected);
        assertEquals(mOther.mValues, expected);
        assertEquals(mReports, List.of(cause));
        assertTrue(mLease.isHeld());
    }

    // Guards against a lease that is renewed although the listener has refused a record.
    @Test
    public void leaseEndsWhileARecordIsNotApplied() {
        run(500);
        mThrowing.mPoisonedKey = Optional.of("b");
        mTopic.put("b", "1");
        run(100);
        long beforeNanos = mThrowing.mUpToDateAt.nanos();
        mTopic.put("c", "1");
        run((int) LEASE.toMillis());
        assertFalse(mLease.isHeld());
        assertEquals(mThrowing.mUpToDateAt.nanos(), beforeNanos);
        assertEquals(mOther.mValues, Map.of("a", "1", "b", "1", "c", "1"));
        mThrowing.mPoisonedKey = Optional.empty();
        run(2000);
        assertTrue(mLease.isHeld());
        assertEquals(mThrowing.mValues, Map.of("a", "1", "b", "1", "c", "1"));
    }

    // Guards against snapshots without a pause for a listener that always throws.
    @Test
    public void snapshotsForAListenerThatAlwaysThrowsAreLimited() {
        run(500);
        mThrowing.mPoisonedKey = Optional.of("b");
        mTopic.put("b", "1");
        int before = mTopic.mSnapshots;
        run(10_000);
        int snapshots = mTopic.mSnapshots - before;
        assertTrue(snapshots >= 5 && snapshots <= 20, "snapshots: " + snapshots);
    }

    // Guards against a follower that is not started again after a read or its callback threw.
    @Test
    public void followerGoesOnAfterAReadThrew() {
        run(500);
        mTopic.mThrows = true;
        run(300);
        mTopic.mThrows = false;
        mTopic.put("b", "1");
        run(500);
        assertEquals(mThrowing.mValues, Map.of("a", "1", "b", "1"));
        assertTrue(mLease.isHeld());
        assertFalse(mReports.isEmpty());
        assertTrue(mTopic.mReads < 40, "reads: " + mTopic.mReads);
    }

    // Guards against reads of other processes that get no response because one of them threw.
    @Test
    public void allWaitersOfARelayGetTheUpdate() {
        TopicRelay relay = new TopicRelay(mTime, (key, previous, value) -> false);
        relay.onSnapshot(0, mTopic.mEra);
        relay.onUpToDate(0, ClockReading.now(mTime));
        List<Long> updates = new ArrayList<>();
        relay.read(0, mTopic.mEra, 1, response -> fail());
        relay.read(0, mTopic.mEra, 1, response -> updates.add(response.get().update()));
        try {
            relay.onUpToDate(0, ClockReading.now(mTime));
        } catch (IllegalStateException expected) {
            // The follower reports it.
        }
        assertEquals(updates, List.of(2L));
    }

    private static void fail() {
        throw new IllegalStateException("waiter");
    }

    /** An in-memory topic that responds after 10 ms, and may throw. */
    private final class Topic implements CompactedTopic {

        private static final Duration DELAY = Duration.ofMillis(10);

        private final List<KeyedRecord> mLog = new ArrayList<>();
        private StoreEra mEra = new StoreEra(1);
        private boolean mUnreachable;
        private boolean mThrows;
        private int mSnapshots;
        private int mReads;

        void put(String key, String value) {
            Optional<byte[]> bytes = Optional.of(value.getBytes(StandardCharsets.UTF_8));
            mLog.add(new KeyedRecord(mLog.size(), key, bytes));
        }

        @Override
        public void readSnapshotPart(
                Optional<String> after, Consumer<Either<ReadFailure, SnapshotPart>> callback) {
            mSnapshots++;
            Map<String, KeyedRecord> newest = new TreeMap<>();
            mLog.forEach(record -> newest.put(record.key(), record));
            List<KeyedRecord> records = List.copyOf(newest.values());
            respond(callback, new SnapshotPart(records, false, mLog.size(), mEra));
        }

        @Override
        public void read(
                long offset, Duration wait, Consumer<Either<ReadFailure, RecordPage>> callback) {
            mReads++;
            int from = (int) Math.min(offset, mLog.size());
            List<KeyedRecord> records = List.copyOf(mLog.subList(from, mLog.size()));
            respond(callback, RecordPage.ofStore(mLog.size(), from, records, mEra));
        }

        private <T> void respond(Consumer<Either<ReadFailure, T>> callback, T response) {
            if (mThrows) {
                throw new IllegalStateException("read");
            }
            Either<ReadFailure, T> sent =
                    mUnreachable
                            ? Either.left(ReadFailure.unreachable("down"))
                            : Either.right(response);
            mTime.schedule(DELAY, () -> callback.accept(sent));
        }
    }

    /** Records the content, and throws when told to. */
    private final class Recorder implements TopicListener {

        private final Map<String, String> mValues = new HashMap<>();
        private final Map<String, Throwable> mFailures = new HashMap<>();
        private Optional<String> mPoisonedKey = Optional.empty();
        private ClockReading mUpToDateAt = new ClockReading(-1, -1);

        void throwOnce(String method, Throwable cause) {
            mFailures.put(method, cause);
        }

        private void check(String method) {
            Throwable cause = mFailures.remove(method);
            if (cause instanceof Error error) {
                throw error;
            }
            if (cause != null) {
                throw (RuntimeException) cause;
            }
        }

        @Override
        public void onStoreRestored() {
            check("restored");
        }

        @Override
        public void onSnapshot(Map<String, byte[]> values) {
            check("snapshot");
            mValues.clear();
            values.forEach((key, value) -> apply(key, Optional.of(value)));
        }

        @Override
        public void onChange(String key, Optional<byte[]> value) {
            check("change");
            apply(key, value);
        }

        private void apply(String key, Optional<byte[]> value) {
            if (mPoisonedKey.equals(Optional.of(key))) {
                throw new IllegalArgumentException(key);
            }
            mValues.put(key, new String(value.orElseThrow(), StandardCharsets.UTF_8));
        }

        @Override
        public void onUpToDate(ClockReading asOf) {
            check("up-to-date");
            mUpToDateAt = asOf;
            mLease.renew(asOf);
        }

        @Override
        public void onStoreUnavailable(String detail) {
            check("unavailable");
        }

        @Override
        public void onStoreAvailable() {
            check("available");
        }
    }
}
