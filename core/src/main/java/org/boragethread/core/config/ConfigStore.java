package org.boragethread.core.config;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.log.LogRecord;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.PlanId;

/**
 * Holds the current configuration. Its revision never decreases, in whatever order updates arrive
 * from the log and from peers. Thread-safe.
 */
public final class ConfigStore {

    private static final Logger LOGGER = LogManager.getLogger(ConfigStore.class);

    /** Number of record outcomes, and of recent configurations, that are kept. */
    private static final int MAX_OUTCOMES = 1024;

    private static final int MAX_RECENT = 256;

    private final Object mLock = new Object();
    private final NotificationQueue mNotifications = new NotificationQueue();
    private final ConfigHistory mHistory;
    private final TreeMap<Long, Configuration> mRecent = new TreeMap<>();
    private final Map<PlanId, RecordOutcome> mOutcomes = new LinkedHashMap<>();
    private volatile Configuration mCurrent = Configuration.EMPTY;
    private volatile boolean mLoaded;
    private volatile long mSnapshotMismatches;

    /**
     * Creates an empty store.
     *
     * @param maxRecords maximum number of records kept for deltas
     * @param maxBytes maximum total size of the records kept for deltas, in bytes
     */
    public ConfigStore(int maxRecords, long maxBytes) {
        mHistory = new ConfigHistory(maxRecords, maxBytes);
    }

    /** Adds a listener, which is notified of all later changes. */
    public void addListener(ConfigListener listener) {
        mNotifications.addListener(listener);
    }

    /** Returns the newest configuration. */
    public Configuration current() {
        return mCurrent;
    }

    /**
     * Returns whether the configuration has been up to date with the log or a peer at least once.
     */
    public boolean isLoaded() {
        return mLoaded;
    }

    /** Marks the configuration as having been up to date with the log or a peer. */
    public void markLoaded() {
        mLoaded = true;
    }

    /** Returns how many snapshots in the log differed from this process's own configuration. */
    public long snapshotMismatches() {
        return mSnapshotMismatches;
    }

    /** Returns the outcome of a plan's confirmation, if it is still kept. */
    public Optional<RecordOutcome> outcome(PlanId plan) {
        synchronized (mLock) {
            return Optional.ofNullable(mOutcomes.get(plan));
        }
    }

    /** Applies records of the log; those that have already been applied are skipped. */
    public Either<ConfigError, Configuration> applyRecords(List<LogRecord> records) {
        return update(
                () -> {
                    for (LogRecord record : records) {
                        if (record.offset() > mCurrent.revision() + 1) {
                            return gapError(record.offset() - 1);
                        }
                        applyRecord(record);
                    }
                    return Either.right(mCurrent);
                });
    }

    /** Applies a peer's delta; records that have already been applied are skipped. */
    public Either<ConfigError, Configuration> applyDelta(ConfigDelta delta) {
        return update(
                () -> {
                    if (delta.baseRevision() > mCurrent.revision()) {
                        return gapError(delta.baseRevision());
                    }
                    delta.records().forEach(this::applyRecord);
                    if (delta.revision() > mCurrent.revision()) {
                        setCurrent(mCurrent.toBuilder().revision(delta.revision()).build());
                    }
                    return Either.right(mCurrent);
                });
    }

    /** Replaces the configuration by that of a snapshot if the snapshot is newer. */
    public Configuration applySnapshot(Configuration configuration) {
        return update(
                        () -> {
                            if (configuration.revision() > mCurrent.revision()) {
                                mHistory.reset(configuration.revision());
                                setCurrent(configuration);
                            }
                            return Either.<ConfigError, Configuration>right(mCurrent);
                        })
                .get();
    }

    /**
     * Returns the changes after a revision, truncated to about {@code maxBytes}, or empty if their
     * records are no longer held.
     */
    public Optional<ConfigDelta> delta(long after, int maxBytes) {
        synchronized (mLock) {
            return mHistory.delta(after, mCurrent.revision(), maxBytes);
        }
    }

    private <T> T update(Supplier<T> change) {
        T result;
        synchronized (mLock) {
            long before = mCurrent.revision();
            result = change.get();
            Configuration now = mCurrent;
            if (now.revision() > before) {
                mNotifications.add(l -> l.onConfiguration(now));
            }
        }
        mNotifications.drain();
        return result;
    }

    private void applyRecord(LogRecord record) {
        if (record.offset() <= mCurrent.revision()) {
            return;
        }
        ApplyResult result = ConfigStateMachine.apply(mCurrent, record);
        RecordOutcome outcome = result.outcome();
        if (outcome instanceof RecordOutcome.Snapshot s) {
            verifySnapshot(s.part());
        }
        if (outcome.changesState()) {
            mHistory.add(record);
        }
        keepOutcome(outcome);
        setCurrent(result.configuration());
        mNotifications.add(l -> l.onRecordApplied(outcome));
    }

    private void setCurrent(Configuration configuration) {
        mRecent.put(configuration.revision(), configuration);
        if (mRecent.size() > MAX_RECENT) {
            mRecent.pollFirstEntry();
        }
        mCurrent = configuration;
    }

    private void keepOutcome(RecordOutcome outcome) {
        outcome.plan().ifPresent(p -> mOutcomes.putIfAbsent(p, outcome));
        if (mOutcomes.size() > MAX_OUTCOMES) {
            mOutcomes.remove(mOutcomes.keySet().iterator().next());
        }
    }

    private void verifySnapshot(ConfigSnapshotPart part) {
        Configuration own = mRecent.get(part.revision());
        if (part.part() != 0 || own == null) {
            return;
        }
        if (ConfigCodec.hashOf(own) != part.contentHash()) {
            mSnapshotMismatches++;
            LOGGER.error(
                    "snapshot of revision {} differs from this process's configuration; replace the"
                            + " processes that run another version",
                    part.revision());
        }
    }

    private Either<ConfigError, Configuration> gapError(long after) {
        return Either.left(
                new ConfigError(
                        ConfigError.Kind.GAP,
                        "records after revision %d cannot be applied at revision %d"
                                .formatted(after, mCurrent.revision())));
    }
}
