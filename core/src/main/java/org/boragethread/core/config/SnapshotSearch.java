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

    private final long mFirst;
    private final Map<String, SnapshotAssembler> mAssemblers = new HashMap<>();

    /**
     * Creates a search for a snapshot after which the log can be followed.
     *
     * @param first oldest offset that the log retains
     */
    SnapshotSearch(long first) {
        mFirst = first;
    }

    long first() {
        return mFirst;
    }

    /** Examines a record and returns the configuration if the record completes a snapshot. */
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
