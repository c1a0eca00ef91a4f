package org.boragethread.core.config;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.log.LogBatch;
import org.boragethread.core.log.LogError;
import org.boragethread.core.log.LogRead;
import org.boragethread.core.log.LogRecord;
import org.boragethread.core.log.PlatformLog;
import org.boragethread.model.config.Configuration;

/**
 * Loads a configuration from which the log can be followed, when the log no longer holds the
 * records after the present one: the newest snapshot in the log, else what the peers have.
 */
public final class Bootstrap {

    private static final Logger LOGGER = LogManager.getLogger(Bootstrap.class);

    /** Number of records looked at in one read. */
    private static final int WINDOW_RECORDS = 500;

    private final PlatformLog mLog;
    private final String mStream;
    private final ConfigStore mStore;
    private final PeerConfigs mPeers;

    /** Loads into the given store. */
    public Bootstrap(PlatformLog log, String stream, ConfigStore store, PeerConfigs peers) {
        mLog = Objects.requireNonNull(log, "log");
        mStream = Objects.requireNonNull(stream, "stream");
        mStore = Objects.requireNonNull(store, "store");
        mPeers = Objects.requireNonNull(peers, "peers");
    }

    /**
     * Loads what can be had.
     *
     * @return the offset from which to follow the log; it is below the oldest kept offset if
     *     neither the log nor a peer had enough
     */
    public CompletableFuture<Long> load(LogError.Expired expired) {
        if (nextWanted() >= expired.first()) {
            return CompletableFuture.completedFuture(nextWanted());
        }
        SnapshotSearch search = new SnapshotSearch(expired.first());
        return searchBack(search, expired.next()).thenCompose(found -> finish(expired, found));
    }

    private CompletableFuture<Long> finish(
            LogError.Expired expired, Optional<Configuration> found) {
        found.ifPresent(mStore::applySnapshot);
        if (nextWanted() >= expired.first()) {
            return CompletableFuture.completedFuture(nextWanted());
        }
        return mPeers.pull().handle((done, failure) -> reportPeers(expired, failure));
    }

    private long reportPeers(LogError.Expired expired, Throwable failure) {
        if (failure != null) {
            LOGGER.warn("peers could not be asked for the configuration", failure);
        }
        if (nextWanted() < expired.first()) {
            LOGGER.error(
                    "no snapshot in the log and no peer leads to offset {}; start an entry that"
                            + " still has the configuration, or state the intents again",
                    expired.first());
        }
        return nextWanted();
    }

    private long nextWanted() {
        return mStore.current().revision() + 1;
    }

    /** Looks for the newest whole snapshot in the records before an offset, newest window first. */
    private CompletableFuture<Optional<Configuration>> searchBack(
            SnapshotSearch search, long before) {
        long from = Math.max(search.first(), before - WINDOW_RECORDS);
        if (from >= before) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        LogRead read = new LogRead(mStream, from, (int) (before - from), Duration.ZERO);
        return mLog.read(read)
                .thenCompose(
                        result -> {
                            Optional<Configuration> found = look(search, result, before);
                            if (found.isPresent() || result.isLeft()) {
                                return CompletableFuture.completedFuture(found);
                            }
                            return searchBack(search, from);
                        });
    }

    private Optional<Configuration> look(
            SnapshotSearch search, Either<LogError, LogBatch> result, long before) {
        if (result.isLeft()) {
            LOGGER.warn("looking for a snapshot: {}", result.getLeft().message());
            return Optional.empty();
        }
        List<LogRecord> records = result.get().records();
        for (int i = records.size() - 1; i >= 0; i--) {
            if (records.get(i).offset() < before) {
                Optional<Configuration> found = search.look(records.get(i));
                if (found.isPresent()) {
                    return found;
                }
            }
        }
        return Optional.empty();
    }
}
