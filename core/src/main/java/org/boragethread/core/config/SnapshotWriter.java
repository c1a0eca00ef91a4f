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
 * Writes a snapshot to the configuration stream before the age of the newest one reaches a third of
 * the retention. Each entry runs a writer. After a random delay a writer checks the age again, so
 * that usually only one of them writes a due snapshot.
 */
public final class SnapshotWriter implements ConfigListener {

    private static final Logger LOGGER = LogManager.getLogger(SnapshotWriter.class);

    /** Size of one part, in bytes; leaves room for the header within the record size limit. */
    private static final int PART_BYTES = 240 * 1024;

    /** Maximum number of incomplete snapshots that are tracked. */
    private static final int MAX_INCOMPLETE = 16;

    private final ConfigStore mStore;
    private final RecordWriter mWriter;
    private final TimeSource mTime;
    private final Scheduler mScheduler;
    private final SnapshotSettings mSettings;
    private final Random mRandom;
    private final Map<ConfigSnapshotKey, BitSet> mIncomplete = new LinkedHashMap<>();
    private Optional<Instant> mNewestTime = Optional.empty();
    private boolean mRunning;

    /**
     * Creates a writer and adds it to the store as a listener. It must be created before the log is
     * read, so that it sees the snapshots in the log.
     *
     * @param writer writer to the configuration stream
     * @param seed seed of the random delay; must differ between entries
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

    /** Starts checking the age of the newest snapshot. */
    public synchronized void start() {
        mRunning = true;
        scheduleCheck();
    }

    /** Stops the checks. If a write is interrupted, another entry writes the next snapshot. */
    public synchronized void stop() {
        mRunning = false;
    }

    /** Returns the age of the newest complete snapshot that has been seen in the log, if any. */
    public synchronized Optional<Duration> newestAge() {
        return mNewestTime.map(n -> Duration.between(n, mTime.instant()));
    }

    @Override
    public synchronized void onRecordApplied(RecordOutcome outcome) {
        if (!(outcome instanceof RecordOutcome.Snapshot s)) {
            return;
        }
        ConfigSnapshotPart part = s.part();
        ConfigSnapshotKey key = new ConfigSnapshotKey(part.revision(), part.contentHash());
        BitSet seen = mIncomplete.computeIfAbsent(key, k -> new BitSet());
        seen.set(part.part());
        if (seen.cardinality() == part.parts()) {
            mIncomplete.remove(key);
            mNewestTime = Optional.of(Instant.ofEpochMilli(s.timeMillis()));
        }
        if (mIncomplete.size() > MAX_INCOMPLETE) {
            mIncomplete.remove(mIncomplete.keySet().iterator().next());
        }
    }

    /** Runs a step; if it throws, the next check still takes place. */
    private void attempt(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            LOGGER.error("check whether a snapshot is due failed", e);
            scheduleCheck();
        }
    }

    private synchronized void scheduleCheck() {
        if (mRunning) {
            mScheduler.schedule(mSettings.checkInterval(), () -> attempt(this::check));
        }
    }

    private synchronized void check() {
        if (!mRunning) {
            return;
        }
        if (!isDue()) {
            scheduleCheck();
            return;
        }
        long jitter = (long) (mRandom.nextDouble() * mSettings.maxJitter().toNanos());
        mScheduler.schedule(Duration.ofNanos(jitter), () -> attempt(this::recheck));
    }

    private void recheck() {
        synchronized (this) {
            if (!mRunning) {
                return;
            }
            if (!isDue()) {
                scheduleCheck();
                return;
            }
        }
        write().whenComplete((done, failure) -> scheduleCheck());
    }

    private boolean isDue() {
        boolean hasState = mStore.current().revision() != Configuration.NO_REVISION;
        boolean isOld = newestAge().map(a -> a.compareTo(mSettings.dueAge()) >= 0).orElse(true);
        return mStore.isLoaded() && hasState && isOld;
    }

    private CompletableFuture<Void> write() {
        List<ConfigSnapshotPart> parts = SnapshotFormat.split(mStore.current(), PART_BYTES);
        List<CompletableFuture<Either<WriteError, Long>>> writes = new ArrayList<>();
        for (ConfigSnapshotPart part : parts) {
            byte[] data = ConfigCodec.writeRecord(new ConfigRecord.SnapshotPart(part));
            LogEntry entry = new LogEntry(SnapshotRecordIds.of(mSettings.writer(), part), data);
            writes.add(mWriter.write(entry, mSettings.writeTimeout()));
        }
        writes.forEach(w -> w.thenAccept(r -> r.peekLeft(SnapshotWriter::logError)));
        return CompletableFuture.allOf(writes.toArray(CompletableFuture[]::new));
    }

    private static void logError(WriteError error) {
        LOGGER.warn("could not write a snapshot part: {}", error.message());
    }

    private record ConfigSnapshotKey(long revision, long contentHash) {}
}
