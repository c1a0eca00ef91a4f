package org.boragethread.core.follow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.boragethread.core.callback.Supervisors;
import org.boragethread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link TopicFollower} with an in-memory topic. */
public class TopicFollowerTest {

    private static final ReadTiming TIMING =
            new ReadTiming(Duration.ofMillis(1000), Duration.ofMillis(100), Duration.ofMillis(50));

    private ManualTimeSource mTime;
    private FakeTopic mTopic;
    private Recorder mRecorder;

    @BeforeMethod
    public void startFollower() {
        mTime = new ManualTimeSource();
        mTopic = new FakeTopic();
        mRecorder = new Recorder();
    }

    private TopicFollower start() {
        TopicRelay relay = new TopicRelay(mTime, (key, previous, value) -> false);
        TopicFollower follower =
                new TopicFollower(
                        mTopic, mTime, mTime, TIMING, mRecorder, relay, Supervisors.rethrowing());
        follower.start();
        return follower;
    }

    private void run(int millis) {
        mTime.advance(Duration.ofMillis(millis));
    }

    @Test
    public void changesAreDeliveredAfterTheSnapshot() {
        mTopic.put("a", "1");
        start();
        mTopic.put("b", "2");
        run(300);
        assertEquals(mRecorder.mValues, Map.of("a", "1", "b", "2"));
    }

    // Guards against calls to the store for a topic that nobody needs any more.
    @Test
    public void stoppedFollowerDeliversNothing() {
        TopicFollower follower = start();
        run(300);
        follower.stop();
        mTopic.put("b", "2");
        run(3000);
        assertEquals(mRecorder.mValues, Map.of());
    }

    @Test
    public void removedKeyIsDelivered() {
        mTopic.put("a", "1");
        start();
        mTopic.remove("a");
        run(300);
        assertTrue(mRecorder.mValues.isEmpty());
    }

    @Test
    public void newSnapshotIsReadIfRecordsWereTrimmed() {
        start();
        mTopic.mFail = true;
        run(200);
        mTopic.put("a", "1");
        mTopic.remove("gone");
        mTopic.mFirst = mTopic.mLog.size();
        mTopic.mFail = false;
        run(300);
        assertEquals(mRecorder.mValues, Map.of("a", "1"));
        assertTrue(mRecorder.mSnapshots >= 2);
    }

    @Test
    public void newSnapshotIsReadIfTheEndOffsetWentBack() {
        mTopic.put("a", "1");
        mTopic.put("a", "2");
        start();
        run(100);
        mTopic.mLog.clear();
        mTopic.mNewest.clear();
        mTopic.put("b", "3");
        run(300);
        assertEquals(mRecorder.mValues, Map.of("b", "3"));
    }

    /** Records of another era were read on from an offset of the era before. */
    @Test
    public void newSnapshotIsReadIfTheStoreWorksWithAnotherCopy() {
        mTopic.put("a", "1");
        mTopic.put("a", "2");
        start();
        run(100);
        assertEquals(mRecorder.mRestores, 0);
        mTopic.mLog.clear();
        mTopic.mNewest.clear();
        mTopic.put("b", "3");
        mTopic.put("c", "4");
        mTopic.mEra = new StoreEra(2);
        run(300);
        assertEquals(mRecorder.mValues, Map.of("b", "3", "c", "4"));
        assertEquals(mRecorder.mRestores, 1);
    }

    /** The second part of a snapshot came from another copy of the store than the first. */
    @Test
    public void partsOfDifferentErasAreNotOneSnapshot() {
        mTopic.put("a", "1");
        mTopic.put("b", "1");
        mTopic.mPartSize = 1;
        mTopic.mBetweenParts =
                () -> {
                    mTopic.mBetweenParts = () -> {};
                    mTopic.mLog.clear();
                    mTopic.mNewest.clear();
                    mTopic.put("b", "2");
                    mTopic.mEra = new StoreEra(2);
                };
        start();
        run(300);
        assertEquals(mRecorder.mValues, Map.of("b", "2"));
    }

    @Test
    public void startAndEndOfAnOutageAreReportedOnce() {
        start();
        run(100);
        mTopic.mFail = true;
        run(1000);
        assertEquals(mRecorder.mUnavailableCalls, 1);
        assertEquals(mRecorder.mAvailableCalls, 0);
        mTopic.mFail = false;
        run(200);
        assertEquals(mRecorder.mAvailableCalls, 1);
    }

    @Test
    public void dataIsCurrentAsOfTheTimeTheReadWasSent() {
        start();
        run(100);
        ClockReading before = mRecorder.mCurrentAsOf;
        mTopic.mDelay = Duration.ofMillis(400);
        run(1000);
        ClockReading after = mRecorder.mCurrentAsOf;
        assertTrue(after.nanos() > before.nanos());
        assertTrue(after.age(mTime).compareTo(Duration.ofMillis(400)) >= 0);
    }

    @Test
    public void failedReadDoesNotMakeDataCurrent() {
        start();
        run(100);
        ClockReading before = mRecorder.mCurrentAsOf;
        mTopic.mFail = true;
        run(2000);
        assertEquals(mRecorder.mCurrentAsOf, before);
    }

    @Test
    public void recordsWrittenBetweenSnapshotPartsAreDelivered() {
        for (int i = 0; i < 7; i++) {
            mTopic.put("key" + i, "old");
        }
        mTopic.mPartSize = 3;
        mTopic.mBetweenParts = () -> mTopic.put("key1", "new");
        start();
        run(500);
        assertEquals(mRecorder.mValues.get("key1"), "new");
        assertEquals(mRecorder.mValues.size(), 7);
    }

    @Test
    public void readsDuringAnOutageDoNotUseLongPolling() {
        start();
        run(100);
        mTopic.mFail = true;
        run(200);
        assertEquals(mTopic.mLastWait, Duration.ZERO);
        assertFalse(mRecorder.mUnavailableCalls == 0);
    }

    /** An in-memory topic that responds at once or after a delay. */
    private final class FakeTopic implements CompactedTopic {

        private final List<KeyedRecord> mLog = new ArrayList<>();
        private final Map<String, KeyedRecord> mNewest = new TreeMap<>();
        private StoreEra mEra = new StoreEra(1);
        private int mFirst;
        private int mPartSize = Integer.MAX_VALUE;
        private boolean mFail;
        private Duration mDelay = Duration.ZERO;
        private Duration mLastWait = Duration.ofDays(1);
        private Runnable mBetweenParts = () -> {};

        void put(String key, String value) {
            Optional<byte[]> bytes = Optional.of(value.getBytes(StandardCharsets.UTF_8));
            KeyedRecord record = new KeyedRecord(mLog.size(), key, bytes);
            mLog.add(record);
            mNewest.put(key, record);
        }

        void remove(String key) {
            mLog.add(new KeyedRecord(mLog.size(), key, Optional.empty()));
            mNewest.remove(key);
        }

        @Override
        public void readSnapshotPart(
                Optional<String> after, Consumer<Either<ReadFailure, SnapshotPart>> callback) {
            List<KeyedRecord> part = new ArrayList<>();
            boolean more = false;
            for (KeyedRecord record : mNewest.values()) {
                if (after.isPresent() && record.key().compareTo(after.get()) <= 0) {
                    continue;
                }
                if (part.size() == mPartSize) {
                    more = true;
                    break;
                }
                part.add(record);
            }
            SnapshotPart snapshot = new SnapshotPart(part, more, mLog.size(), mEra);
            mBetweenParts.run();
            respond(callback, Either.right(snapshot));
        }

        @Override
        public void read(
                long offset, Duration wait, Consumer<Either<ReadFailure, RecordPage>> callback) {
            mLastWait = wait;
            if (offset < mFirst) {
                respond(callback, Either.left(ReadFailure.trimmed("trimmed")));
                return;
            }
            int from = (int) Math.min(offset, mLog.size());
            respond(
                    callback,
                    Either.right(
                            RecordPage.ofStore(
                                    mLog.size(),
                                    from,
                                    List.copyOf(mLog.subList(from, mLog.size())),
                                    mEra)));
        }

        private <T> void respond(
                Consumer<Either<ReadFailure, T>> callback, Either<ReadFailure, T> response) {
            Either<ReadFailure, T> sent =
                    mFail ? Either.left(ReadFailure.unreachable("down")) : response;
            mTime.schedule(mDelay, () -> callback.accept(sent));
        }
    }

    /** Records the calls of the listener. */
    private static final class Recorder implements TopicListener {

        private final Map<String, String> mValues = new TreeMap<>();
        private int mSnapshots;
        private int mRestores;
        private int mUnavailableCalls;
        private int mAvailableCalls;
        private ClockReading mCurrentAsOf = new ClockReading(-1, -1);

        @Override
        public void onStoreRestored() {
            mRestores++;
        }

        @Override
        public void onSnapshot(Map<String, byte[]> values) {
            mSnapshots++;
            mValues.clear();
            values.forEach((key, value) -> onChange(key, Optional.of(value)));
        }

        @Override
        public void onChange(String key, Optional<byte[]> value) {
            if (value.isEmpty()) {
                mValues.remove(key);
            } else {
                mValues.put(key, new String(value.get(), StandardCharsets.UTF_8));
            }
        }

        @Override
        public void onUpToDate(ClockReading asOf) {
            mCurrentAsOf = asOf;
        }

        @Override
        public void onStoreUnavailable(String detail) {
            mUnavailableCalls++;
        }

        @Override
        public void onStoreAvailable() {
            mAvailableCalls++;
        }
    }
}
