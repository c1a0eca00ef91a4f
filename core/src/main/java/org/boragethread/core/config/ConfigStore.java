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
 * The table that holds the current configuration. Its revision never goes down, whatever comes from
 * the log and from peers and in whatever order. Safe for concurrent use.
 */
public final class ConfigStore {

    private static final Logger LOGGER = LogManager.getLogger(ConfigStore.class);

    /** Number of verdicts, and of earlier configurations, that are held. */
    private static final int MAX_VERDICTS = 1024;

    private static final int MAX_EARLIER = 256;

    private final Object mLock = new Object();
    private final NotificationQueue mNotifications = new NotificationQueue();
    private final ConfigHistory mHistory;
    private final TreeMap<Long, Configuration> mEarlier = new TreeMap<>();
    private final Map<PlanId, Verdict> mVerdicts = new LinkedHashMap<>();
    private volatile Configuration mCurrent = Configuration.EMPTY;
    private volatile boolean mLoaded;
    private volatile long mSnapshotMismatches;

    /**
     * Creates an empty store.
     *
     * @param maxRecords greatest number of records held for deltas
     * @param maxBytes greatest size of the records held for deltas, in bytes
     */
    public ConfigStore(int maxRecords, long maxBytes) {
        mHistory = new ConfigHistory(maxRecords, maxBytes);
    }

    /** Adds a listener, which hears of all later changes. */
    public void addListener(ConfigListener listener) {
        mNotifications.addListener(listener);
    }

    /** Returns the newest configuration. */
    public Configuration current() {
        return mCurrent;
    }

    /** Tells whether the configuration has held all that the log or a peer held. */
    public boolean isLoaded() {
        return mLoaded;
    }

    /** States that the configuration holds all that the log or a peer held. */
    public void markLoaded() {
        mLoaded = true;
    }

    /** Returns how many snapshots in the log differed from this process's own state. */
    public long snapshotMismatches() {
        return mSnapshotMismatches;
    }

    /** Returns what the fold made of a plan's confirmation, if that is remembered. */
    public Optional<Verdict> verdict(PlanId plan) {
        synchronized (mLock) {
            return Optional.ofNullable(mVerdicts.get(plan));
        }
    }

    /** Folds records of the log; those already contained are skipped. */
    public Either<ConfigError, Configuration> applyRecords(List<LogRecord> records) {
        return update(
                () -> {
                    for (LogRecord record : records) {
                        if (record.offset() > mCurrent.revision() + 1) {
                            return gap(record.offset() - 1);
                        }
                        fold(record);
                    }
                    return Either.right(mCurrent);
                });
    }

    /** Applies a peer's delta; what is already contained is skipped. */
    public Either<ConfigError, Configuration> applyDelta(ConfigDelta delta) {
        return update(
                () -> {
                    if (delta.after() > mCurrent.revision()) {
                        return gap(delta.after());
                    }
                    delta.records().forEach(this::fold);
                    if (delta.revision() > mCurrent.revision()) {
                        setCurrent(mCurrent.toBuilder().revision(delta.revision()).build());
                    }
                    return Either.right(mCurrent);
                });
    }

    /** Takes a whole configuration from a snapshot if it is newer. */
    public Configuration applySnapshot(Configuration configuration) {
        return update(
                        () -> {
                            if (configuration.revision() > mCurrent.revision()) {
                                mHistory.restart(configuration.revision());
                                setCurrent(configuration);
                            }
                            return Either.<ConfigError, Configuration>right(mCurrent);
                        })
                .get();
    }

    /** Returns what changed after a revision, cut at a number of bytes, if that is still held. */
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

    private void fold(LogRecord record) {
        if (record.offset() <= mCurrent.revision()) {
            return;
        }
        FoldResult result = ConfigFold.apply(mCurrent, record);
        Verdict verdict = result.verdict();
        if (verdict instanceof Verdict.Snapshot s) {
            compare(s.part());
        }
        if (verdict.changesState()) {
            mHistory.add(record);
        }
        remember(verdict);
        setCurrent(result.configuration());
        mNotifications.add(l -> l.onVerdict(verdict));
    }

    private void setCurrent(Configuration configuration) {
        mEarlier.put(configuration.revision(), configuration);
        if (mEarlier.size() > MAX_EARLIER) {
            mEarlier.pollFirstEntry();
        }
        mCurrent = configuration;
    }

    private void remember(Verdict verdict) {
        verdict.plan().ifPresent(p -> mVerdicts.putIfAbsent(p, verdict));
        if (mVerdicts.size() > MAX_VERDICTS) {
            mVerdicts.remove(mVerdicts.keySet().iterator().next());
        }
    }

    private void compare(ConfigSnapshot part) {
        Configuration own = mEarlier.get(part.revision());
        if (part.part() != 0 || own == null) {
            return;
        }
        if (ConfigCodec.hashOf(own) != part.contentHash()) {
            mSnapshotMismatches++;
            LOGGER.error(
                    "snapshot of revision {} differs from this process's state; replace the"
                            + " processes that run another version",
                    part.revision());
        }
    }

    private Either<ConfigError, Configuration> gap(long after) {
        return Either.left(
                new ConfigError(
                        ConfigError.Kind.GAP,
                        "records after revision %d do not follow on revision %d"
                                .formatted(after, mCurrent.revision())));
    }
}
