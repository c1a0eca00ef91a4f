package org.boragethread.core.follow;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.boragethread.core.callback.Supervisors;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;

/**
 * Processes that read one topic from a simulated store or from the relays of others, while they are
 * cut off from the store or from each other, suspended, and choose other relays.
 */
final class RelaySimulation {

    private static final String KEY = "config";
    private static final Duration STEP = Duration.ofMillis(20);
    private static final Duration LATENCY = Duration.ofMillis(5);
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(700);
    private static final ReadTiming TIMING =
            new ReadTiming(Duration.ofMillis(800), Duration.ZERO, Duration.ofMillis(200));
    private static final Duration RELAY_TIMEOUT = Duration.ofMillis(1300);

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final SplittableRandom mRandom;
    private final List<Process> mProcesses = new ArrayList<>();
    private final List<KeyedRecord> mLog = new ArrayList<>();
    private final List<Long> mAcceptedAt = new ArrayList<>();
    private final List<Runnable> mLongPolls = new ArrayList<>();
    private boolean mFailures = true;
    private boolean mRestores;
    private StoreEra mEra = new StoreEra(1);
    private int mStoreReads;

    RelaySimulation(int processes, long seed) {
        mRandom = new SplittableRandom(seed);
        append();
        for (int i = 0; i < processes; i++) {
            mProcesses.add(new Process(i));
        }
        mProcesses.forEach(Process::start);
    }

    /** Lets the store come back from older copies while there are failures. */
    void enableRestores() {
        mRestores = true;
    }

    /** Runs with failures, and checks every process in every step. */
    void runWithFailures(Duration length) {
        run(length);
    }

    /** Ends all failures and runs on. */
    void runWithoutFailures(Duration length) {
        mFailures = false;
        mProcesses.forEach(Process::recover);
        run(length);
    }

    int storeReads() {
        return mStoreReads;
    }

    /** Returns the longest time since the information of a process was complete. */
    Duration greatestAge() {
        Duration greatest = Duration.ZERO;
        for (Process process : mProcesses) {
            Duration age = process.mUpToDateAt.age(process);
            greatest = age.compareTo(greatest) > 0 ? age : greatest;
        }
        return greatest;
    }

    private void run(Duration length) {
        long end = mTime.nanoTime() + length.toNanos();
        while (mTime.nanoTime() < end) {
            if (mRandom.nextInt(60) == 0) {
                append();
            }
            if (mFailures && mRestores && mRandom.nextInt(150) == 0) {
                restoreOlderCopy();
            }
            if (mFailures) {
                mProcesses.get(mRandom.nextInt(mProcesses.size())).fail();
            }
            mTime.advance(STEP);
            mProcesses.forEach(Process::check);
        }
    }

    private void append() {
        mAcceptedAt.add(Long.MAX_VALUE);
        write(mAcceptedAt.size() - 1);
    }

    private void write(int version) {
        String value = Integer.toString(version);
        mLog.add(
                new KeyedRecord(
                        mLog.size(), KEY, Optional.of(value.getBytes(StandardCharsets.UTF_8))));
        mAcceptedAt.set(version, mTime.nanoTime());
        List<Runnable> polls = new ArrayList<>(mLongPolls);
        mLongPolls.clear();
        polls.forEach(Runnable::run);
    }

    /** Drops the newest records. The operator writes the newest version again a little later. */
    private void restoreOlderCopy() {
        int lost = Math.min(mLog.size() - 1, 1 + mRandom.nextInt(4));
        for (int i = 0; i < lost; i++) {
            KeyedRecord record = mLog.remove(mLog.size() - 1);
            mAcceptedAt.set(version(record), Long.MAX_VALUE);
        }
        mEra = new StoreEra(mEra.number() + 1);
        int newest = mAcceptedAt.size() - 1;
        mTime.schedule(
                Duration.ofMillis(mRandom.nextInt(2000)),
                () -> {
                    if (newest == mAcceptedAt.size() - 1) {
                        write(newest);
                    }
                });
    }

    private static int version(KeyedRecord record) {
        return Integer.parseInt(new String(record.value().orElseThrow(), StandardCharsets.UTF_8));
    }

    /** One process, with clocks and tasks of its own. */
    private final class Process
            implements TimeSource, Scheduler, CompactedTopic, RelayClient, TopicListener {

        private final int mNumber;
        private final TopicRelay mTopicRelay = new TopicRelay(this, (key, a, b) -> false);
        private final List<Runnable> mDeferred = new ArrayList<>();
        private final Map<Integer, Long> mCutFromUntil = new HashMap<>();
        private ClockReading mUpToDateAt = new ClockReading(Long.MIN_VALUE / 2, 0);
        private int mVersion = -1;
        private boolean mMayReadOlder;
        private int mRelay;
        private long mSuspendedNanos;
        private long mSuspendedAt = -1;
        private long mStoreCutUntil;

        Process(int number) {
            mNumber = number;
        }

        void start() {
            RelayedTopic topic =
                    new RelayedTopic(this, KEY, this, this::relay, this, RELAY_TIMEOUT);
            new TopicFollower(
                            topic, this, this, TIMING, this, mTopicRelay, Supervisors.rethrowing())
                    .start();
        }

        private Optional<String> relay() {
            return mRelay == mNumber ? Optional.empty() : Optional.of(Integer.toString(mRelay));
        }

        void fail() {
            long until = mTime.nanoTime() + mRandom.nextLong(6_000_000_000L);
            switch (mRandom.nextInt(60)) {
                case 0 -> mStoreCutUntil = until;
                case 1 -> mCutFromUntil.put(mRandom.nextInt(mProcesses.size()), until);
                case 2 -> mRelay = mRandom.nextInt(mProcesses.size());
                case 3 -> suspend(until - mTime.nanoTime());
                default -> {
                    // Most steps bring no failure.
                }
            }
        }

        void recover() {
            mStoreCutUntil = 0;
            mCutFromUntil.clear();
            mRelay = 0;
        }

        private void suspend(long nanos) {
            if (mSuspendedAt < 0) {
                mSuspendedAt = mTime.nanoTime();
                mTime.schedule(Duration.ofNanos(nanos), this::resume);
            }
        }

        private void resume() {
            mSuspendedNanos += mTime.nanoTime() - mSuspendedAt;
            mSuspendedAt = -1;
            List<Runnable> deferred = new ArrayList<>(mDeferred);
            mDeferred.clear();
            deferred.forEach(Runnable::run);
        }

        /** Runs a task, after the end of a suspension if there is one. */
        private void execute(Runnable task) {
            if (mSuspendedAt >= 0) {
                mDeferred.add(task);
            } else {
                task.run();
            }
        }

        void check() {
            if (mSuspendedAt >= 0 || mVersion < 0) {
                return;
            }
            long completeAt = mTime.nanoTime() - mUpToDateAt.age(this).toNanos();
            for (int version = mAcceptedAt.size() - 1; version > mVersion; version--) {
                // The wall clock counts whole milliseconds.
                if (mAcceptedAt.get(version) < completeAt - 1_000_000) {
                    throw new AssertionError(
                            "process %d has version %d, but %d was accepted before %d"
                                    .formatted(mNumber, mVersion, version, completeAt));
                }
            }
        }

        @Override
        public long nanoTime() {
            long now = mSuspendedAt >= 0 ? mSuspendedAt : mTime.nanoTime();
            return now - mSuspendedNanos;
        }

        @Override
        public Instant instant() {
            return mTime.instant();
        }

        @Override
        public Timer schedule(Duration delay, Runnable task) {
            return mTime.schedule(delay, () -> execute(task));
        }

        private boolean isCutFromStore() {
            return mTime.nanoTime() < mStoreCutUntil;
        }

        @Override
        public void readSnapshotPart(
                Optional<String> after, Consumer<Either<ReadFailure, SnapshotPart>> callback) {
            if (isCutFromStore()) {
                failLater(callback);
                return;
            }
            KeyedRecord newest = mLog.get(mLog.size() - 1);
            SnapshotPart part = new SnapshotPart(List.of(newest), false, mLog.size(), mEra);
            schedule(LATENCY, () -> callback.accept(Either.right(part)));
        }

        private <T> void failLater(Consumer<Either<ReadFailure, T>> callback) {
            schedule(
                    STORE_TIMEOUT,
                    () -> callback.accept(Either.left(ReadFailure.unreachable("cut off"))));
        }

        @Override
        public void read(
                long offset, Duration wait, Consumer<Either<ReadFailure, RecordPage>> callback) {
            mStoreReads++;
            if (isCutFromStore()) {
                failLater(callback);
                return;
            }
            boolean[] answered = {false};
            Runnable answer =
                    () -> {
                        if (!answered[0]) {
                            answered[0] = true;
                            Either<ReadFailure, RecordPage> page = page(offset);
                            schedule(LATENCY, () -> callback.accept(page));
                        }
                    };
            if (offset < mLog.size() || wait.isZero()) {
                answer.run();
                return;
            }
            mLongPolls.add(answer);
            mTime.schedule(wait, answer);
        }

        private Either<ReadFailure, RecordPage> page(long offset) {
            if (offset > mLog.size()) {
                return Either.left(ReadFailure.trimmed("no such offset"));
            }
            List<KeyedRecord> records = List.copyOf(mLog.subList((int) offset, mLog.size()));
            return Either.right(RecordPage.ofStore(mLog.size(), offset, records, mEra));
        }

        @Override
        public void read(
                String relay,
                String topic,
                long offset,
                StoreEra era,
                long seenUpdate,
                Duration timeout,
                Consumer<Either<ReadFailure, TopicRelay.Update>> callback) {
            boolean[] ended = {false};
            Consumer<Either<ReadFailure, TopicRelay.Update>> once =
                    response -> {
                        if (!ended[0]) {
                            ended[0] = true;
                            callback.accept(response);
                        }
                    };
            schedule(
                    timeout,
                    () -> once.accept(Either.left(ReadFailure.unreachable("no response"))));
            int number = Integer.parseInt(relay);
            Process other = mProcesses.get(number);
            mTime.schedule(
                    LATENCY,
                    () ->
                            other.execute(
                                    () ->
                                            other.mTopicRelay.read(
                                                    offset,
                                                    era,
                                                    seenUpdate,
                                                    response -> deliver(number, response, once))));
        }

        private void deliver(
                int relay,
                Either<ReadFailure, TopicRelay.Update> response,
                Consumer<Either<ReadFailure, TopicRelay.Update>> callback) {
            if (mTime.nanoTime() >= mCutFromUntil.getOrDefault(relay, 0L)) {
                Duration delay = Duration.ofMillis(1 + mRandom.nextInt(200));
                schedule(delay, () -> callback.accept(response));
            }
        }

        @Override
        public void onStoreRestored() {
            mMayReadOlder = true;
        }

        @Override
        public void onSnapshot(Map<String, byte[]> values) {
            values.forEach((key, value) -> onChange(key, Optional.of(value)));
        }

        @Override
        public void onChange(String key, Optional<byte[]> value) {
            int version = Integer.parseInt(new String(value.orElseThrow(), StandardCharsets.UTF_8));
            if (version < mVersion && mMayReadOlder) {
                return;
            }
            if (version < mVersion) {
                throw new AssertionError(
                        "process %d went back from %d to %d".formatted(mNumber, mVersion, version));
            }
            mVersion = version;
        }

        @Override
        public void onUpToDate(ClockReading asOf) {
            mUpToDateAt = asOf;
        }

        @Override
        public void onStoreUnavailable(String detail) {}

        @Override
        public void onStoreAvailable() {}
    }

    /** Returns the versions of all processes, for messages of failures. */
    String versions() {
        return Arrays.toString(mProcesses.stream().mapToInt(process -> process.mVersion).toArray())
                + " of "
                + (mAcceptedAt.size() - 1);
    }
}
