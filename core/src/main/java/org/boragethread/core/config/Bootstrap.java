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
 * Restores a configuration from which the log can be followed again, for when the log no longer
 * retains the records that follow the current revision. It uses the newest snapshot in the log, or
 * else the configuration of a peer.
 */
public final class Bootstrap {

    private static final Logger LOGGER = LogManager.getLogger(Bootstrap.class);

    /** Number of records in one read. */
    private static final int RECORDS_PER_READ = 500;

    private final PlatformLog mLog;
    private final String mStream;
    private final ConfigStore mStore;
    private final PeerConfigs mPeers;

    /** Creates a bootstrap that loads into the given store. */
    public Bootstrap(PlatformLog log, String stream, ConfigStore store, PeerConfigs peers) {
        mLog = Objects.requireNonNull(log, "log");
        mStream = Objects.requireNonNull(stream, "stream");
        mStore = Objects.requireNonNull(store, "store");
        mPeers = Objects.requireNonNull(peers, "peers");
    }

    /**
     * Loads the newest configuration that the log or a peer can provide.
     *
     * @return the offset from which to follow the log; below the oldest retained offset if neither
     *     the log nor a peer could provide a recent enough configuration
     */
    public CompletableFuture<Long> load(LogError.Expired expired) {
        if (nextOffset() >= expired.first()) {
            return CompletableFuture.completedFuture(nextOffset());
        }
        SnapshotSearch search = new SnapshotSearch(expired.first());
        return searchBackwards(search, expired.next())
                .thenCompose(found -> applyOrAskPeers(expired, found));
    }

    private CompletableFuture<Long> applyOrAskPeers(
            LogError.Expired expired, Optional<Configuration> found) {
        found.ifPresent(mStore::applySnapshot);
        if (nextOffset() >= expired.first()) {
            return CompletableFuture.completedFuture(nextOffset());
        }
        return mPeers.pull().handle((done, failure) -> onPeersAsked(expired, failure));
    }

    private long onPeersAsked(LogError.Expired expired, Throwable failure) {
        if (failure != null) {
            LOGGER.warn("could not fetch the configuration from peers", failure);
        }
        if (nextOffset() < expired.first()) {
            LOGGER.error(
                    "no snapshot in the log and no peer reaches offset {}; start an entry that"
                            + " still has the configuration, or submit the intents again",
                    expired.first());
        }
        return nextOffset();
    }

    private long nextOffset() {
        return mStore.current().revision() + 1;
    }

    /** Searches the records before an offset for the newest complete snapshot, newest first. */
    private CompletableFuture<Optional<Configuration>> searchBackwards(
            SnapshotSearch search, long before) {
        long from = Math.max(search.firstOffset(), before - RECORDS_PER_READ);
        if (from >= before) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        LogRead read = new LogRead(mStream, from, (int) (before - from), Duration.ZERO);
        return mLog.read(read)
                .thenCompose(
                        result -> {
                            Optional<Configuration> found = searchBatch(search, result, before);
                            if (found.isPresent() || result.isLeft()) {
                                return CompletableFuture.completedFuture(found);
                            }
                            return searchBackwards(search, from);
                        });
    }

    private Optional<Configuration> searchBatch(
            SnapshotSearch search, Either<LogError, LogBatch> result, long before) {
        if (result.isLeft()) {
            LOGGER.warn("snapshot search failed: {}", result.getLeft().message());
            return Optional.empty();
        }
        List<LogRecord> records = result.get().records();
        for (int i = records.size() - 1; i >= 0; i--) {
            if (records.get(i).offset() < before) {
                Optional<Configuration> found = search.examine(records.get(i));
                if (found.isPresent()) {
                    return found;
                }
            }
        }
        return Optional.empty();
    }
}
