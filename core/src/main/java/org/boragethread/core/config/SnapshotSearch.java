package org.boragethread.core.config;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.log.LogRecord;
import org.boragethread.model.config.Configuration;

/** Joins the snapshot parts that are found in the log, in any order. */
final class SnapshotSearch {

    private static final Logger LOGGER = LogManager.getLogger(SnapshotSearch.class);

    /** Maximum number of incomplete snapshots that are collected at once. */
    private static final int MAX_INCOMPLETE = 8;

    private final long mFirstOffset;
    private final Map<String, SnapshotAssembler> mAssemblers = new HashMap<>();

    /**
     * Creates a search for a snapshot after which the log can be followed.
     *
     * @param firstOffset oldest offset that the log retains
     */
    SnapshotSearch(long firstOffset) {
        mFirstOffset = firstOffset;
    }

    long firstOffset() {
        return mFirstOffset;
    }

    /** Examines a record and returns the configuration if the record completes a snapshot. */
    Optional<Configuration> examine(LogRecord record) {
        if (!ConfigCodec.looksLikeSnapshot(record.data())) {
            return Optional.empty();
        }
        Either<ConfigError, ConfigRecord> read = ConfigCodec.readRecord(record.data());
        if (read.isRight() && read.get() instanceof ConfigRecord.SnapshotPart s) {
            return add(SnapshotRecordIds.commonPrefix(record.id()), s.part());
        }
        return Optional.empty();
    }

    private Optional<Configuration> add(String source, ConfigSnapshotPart part) {
        if (part.revision() + 1 < mFirstOffset) {
            return Optional.empty();
        }
        if (mAssemblers.size() >= MAX_INCOMPLETE && !mAssemblers.containsKey(source)) {
            return Optional.empty();
        }
        SnapshotAssembler assembler =
                mAssemblers.computeIfAbsent(source, s -> new SnapshotAssembler());
        Optional<Either<ConfigError, Configuration>> complete = assembler.add(source, part);
        complete.ifPresent(c -> mAssemblers.remove(source));
        complete.filter(Either::isLeft).ifPresent(c -> LOGGER.error(c.getLeft().message()));
        return complete.flatMap(Either::toJavaOptional);
    }
}
