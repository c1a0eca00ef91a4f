package org.boragethread.core.config;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.log.LogEntry;
import org.boragethread.core.log.RecordWriter;
import org.boragethread.core.log.WriteError;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.config.Configuration;

/**
 * Writes a snapshot into the configuration stream before the newest one is a third of the retention
 * old. Each entry runs one; a random delay and a second look let one of them write.
 */
public final class SnapshotWriter implements ConfigListener {

    private static final Logger LOGGER = LogManager.getLogger(SnapshotWriter.class);

    /** Size of one part; leaves room for its header in a record. */
    private static final int PART_BYTES = 240 * 1024;

    /** Number of unfinished snapshots that are tracked. */
    private static final int MAX_UNFINISHED = 16;

    private final ConfigStore mStore;
    private final RecordWriter mWriter;
    private final TimeSource mTime;
    private final Scheduler mScheduler;
    private final SnapshotSettings mSettings;
    private final Random mRandom;
    private final Map<ConfigSnapshotKey, BitSet> mUnfinished = new LinkedHashMap<>();
    private Optional<Instant> mNewest = Optional.empty();
    private boolean mRunning;

    /**
     * Creates a writer and listens to the store; create it before the log is read.
     *
     * @param writer writes to the configuration stream
     * @param seed seed of the random delay; differs between entries
     */
    public SnapshotWriter(
            ConfigStore store,
            RecordWriter writer,
            TimeSource time,
            Scheduler scheduler,
            SnapshotSettings settings,
            long seed) {
        mStore = Objects.requireNonNull(store, "store");
        mWriter = Objects.requireNonNull(writer, "writer");
        mTime = Objects.requireNonNull(time, "time");
        mScheduler = Objects.requireNonNull(scheduler, "scheduler");
        mSettings = Objects.requireNonNull(settings, "settings");
        mRandom = new Random(seed);
        store.addListener(this);
    }

    /** Begins to look at the age of the newest snapshot. */
    public synchronized void start() {
        mRunning = true;
        mScheduler.schedule(mSettings.checkEvery(), this::check);
    }

    /** Stops; a snapshot that is being written is finished by others if need be. */
    public synchronized void stop() {
        mRunning = false;
    }

    /** Returns the age of the newest whole snapshot in the log, if one was seen. */
    public synchronized Optional<Duration> newestAge() {
        return mNewest.map(n -> Duration.between(n, mTime.instant()));
    }

    @Override
    public synchronized void onVerdict(Verdict verdict) {
        if (!(verdict instanceof Verdict.Snapshot s)) {
            return;
        }
        ConfigSnapshot part = s.part();
        ConfigSnapshotKey key = new ConfigSnapshotKey(part.revision(), part.contentHash());
        BitSet seen = mUnfinished.computeIfAbsent(key, k -> new BitSet());
        seen.set(part.part());
        if (seen.cardinality() == part.parts()) {
            mUnfinished.remove(key);
            mNewest = Optional.of(Instant.ofEpochMilli(s.timeMillis()));
        }
        if (mUnfinished.size() > MAX_UNFINISHED) {
            mUnfinished.remove(mUnfinished.keySet().iterator().next());
        }
    }

    private synchronized void check() {
        if (!mRunning) {
            return;
        }
        if (!isDue()) {
            mScheduler.schedule(mSettings.checkEvery(), this::check);
            return;
        }
        long jitter = (long) (mRandom.nextDouble() * mSettings.maxJitter().toNanos());
        mScheduler.schedule(Duration.ofNanos(jitter), this::lookAgain);
    }

    private void lookAgain() {
        synchronized (this) {
            if (!mRunning) {
                return;
            }
            if (!isDue()) {
                mScheduler.schedule(mSettings.checkEvery(), this::check);
                return;
            }
        }
        write().whenComplete((done, failure) -> start());
    }

    private boolean isDue() {
        boolean hasState = mStore.current().revision() != Configuration.NO_REVISION;
        boolean old = newestAge().map(a -> a.compareTo(mSettings.dueAge()) >= 0).orElse(true);
        return mStore.isLoaded() && hasState && old;
    }

    private CompletableFuture<Void> write() {
        List<ConfigSnapshot> parts = SnapshotFormat.split(mStore.current(), PART_BYTES);
        List<CompletableFuture<Either<WriteError, Long>>> writes = new ArrayList<>();
        for (ConfigSnapshot part : parts) {
            byte[] data = ConfigCodec.writeRecord(new ConfigRecord.SnapshotPart(part));
            LogEntry entry = new LogEntry(SnapshotIds.of(mSettings.writer(), part), data);
            writes.add(mWriter.write(entry, mSettings.writeTimeout()));
        }
        writes.forEach(w -> w.thenAccept(r -> r.peekLeft(SnapshotWriter::report)));
        return CompletableFuture.allOf(writes.toArray(CompletableFuture[]::new));
    }

    private static void report(WriteError error) {
        LOGGER.warn("snapshot: {}", error.message());
    }

    private record ConfigSnapshotKey(long revision, long contentHash) {}
}
