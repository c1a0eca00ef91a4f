package org.boragethread.core.config;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.log.LogRecord;
import org.boragethread.model.config.Configuration;

/** Joins the snapshot parts that a search through the log comes upon, in any order. */
final class SnapshotSearch {

    private static final Logger LOGGER = LogManager.getLogger(SnapshotSearch.class);

    /** Number of unfinished snapshots that are collected at once. */
    private static final int MAX_SOURCES = 8;

    private final long mFirst;
    private final Map<String, SnapshotAssembler> mBySource = new HashMap<>();

    /** Looks for a snapshot that leads to the given oldest kept offset. */
    SnapshotSearch(long first) {
        mFirst = first;
    }

    long first() {
        return mFirst;
    }

    /** Takes a record and returns the configuration of the snapshot that it completes. */
    Optional<Configuration> look(LogRecord record) {
        if (!ConfigCodec.looksLikeSnapshot(record.data())) {
            return Optional.empty();
        }
        Either<ConfigError, ConfigRecord> read = ConfigCodec.readRecord(record.data());
        if (read.isRight() && read.get() instanceof ConfigRecord.SnapshotPart s) {
            return add(SnapshotIds.source(record.id()), s.part());
        }
        return Optional.empty();
    }

    private Optional<Configuration> add(String source, ConfigSnapshot part) {
        if (part.revision() + 1 < mFirst) {
            return Optional.empty();
        }
        if (mBySource.size() >= MAX_SOURCES && !mBySource.containsKey(source)) {
            return Optional.empty();
        }
        SnapshotAssembler assembler =
                mBySource.computeIfAbsent(source, s -> new SnapshotAssembler());
        Optional<Either<ConfigError, Configuration>> whole = assembler.add(source, part);
        whole.ifPresent(w -> mBySource.remove(source));
        whole.filter(Either::isLeft).ifPresent(w -> LOGGER.error(w.getLeft().message()));
        return whole.flatMap(Either::toJavaOptional);
    }
}
