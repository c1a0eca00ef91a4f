package org.boragethread.core.config;

import io.vavr.control.Either;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.log.BatchingAppender;
import org.boragethread.core.log.LogBatch;
import org.boragethread.core.log.LogError;
import org.boragethread.core.log.StreamHandler;
import org.boragethread.model.config.Configuration;

/** Applies the records of the configuration stream to the store. */
public final class ConfigStreamHandler implements StreamHandler {

    private static final Logger LOGGER = LogManager.getLogger(ConfigStreamHandler.class);

    private final ConfigStore mStore;
    private final BatchingAppender mAppender;
    private final Bootstrap mBootstrap;

    /**
     * Creates a handler.
     *
     * @param appender appender of the configuration stream, which is told of each record read so
     *     that it can complete its pending appends
     */
    public ConfigStreamHandler(ConfigStore store, BatchingAppender appender, Bootstrap bootstrap) {
        mStore = Objects.requireNonNull(store, "store");
        mAppender = Objects.requireNonNull(appender, "appender");
        mBootstrap = Objects.requireNonNull(bootstrap, "bootstrap");
    }

    @Override
    public void onBatch(LogBatch batch, boolean caughtUp) {
        Either<ConfigError, Configuration> result = mStore.applyRecords(batch.records());
        if (result.isLeft()) {
            throw new IllegalStateException(result.getLeft().message());
        }
        batch.records().forEach(mAppender::readBack);
        if (caughtUp) {
            mStore.markLoaded();
        }
    }

    @Override
    public CompletableFuture<Long> onExpired(LogError.Expired expired) {
        LOGGER.warn("configuration records have expired: {}", expired.message());
        return mBootstrap.load(expired);
    }
}
