package org.boragethread.entry.serve;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.boragethread.core.config.Bootstrap;
import org.boragethread.core.config.ConfigMeters;
import org.boragethread.core.config.ConfigStore;
import org.boragethread.core.config.ConfigStreamHandler;
import org.boragethread.core.config.PeerConfigs;
import org.boragethread.core.config.SnapshotSettings;
import org.boragethread.core.config.SnapshotWriter;
import org.boragethread.core.log.AppenderSettings;
import org.boragethread.core.log.BatchingAppender;
import org.boragethread.core.log.FollowerSettings;
import org.boragethread.core.log.PlatformLog;
import org.boragethread.core.log.RecordWriter;
import org.boragethread.core.log.StreamFollower;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;

/** Follows the configuration stream of the platform's log and writes records to it. */
final class ConfigService {

    /** Name of the configuration stream. */
    static final String STREAM = "config";

    private static final double NANOS_PER_SECOND = 1e9;

    private final StreamFollower mFollower;
    private final BatchingAppender mAppender;
    private final SnapshotWriter mSnapshots;
    private final ConfigStore mStore;

    /** Creates a service that is not started and registers its meters. */
    ConfigService(
            LogAccess access,
            ConfigStore store,
            PeerConfigs peers,
            SnapshotSettings snapshots,
            MeterRegistry registry) {
        mStore = store;
        PlatformLog log = access.log();
        TimeSource time = access.time();
        Scheduler scheduler = access.scheduler();
        RandomGenerator random = access.random();
        mAppender =
                new BatchingAppender(
                        log,
                        STREAM,
                        scheduler,
                        access.appendRateLimiter(),
                        new AppenderSettings.Builder().batchDelay(Duration.ZERO).build(),
                        random.nextLong());
        Bootstrap bootstrap = new Bootstrap(log, STREAM, store, peers);
        mFollower =
                new StreamFollower.Builder()
                        .stream(log, STREAM)
                                .time(time, scheduler)
                                .settings(FollowerSettings.DEFAULT)
                                .handler(new ConfigStreamHandler(store, mAppender, bootstrap))
                                .seed(random.nextLong())
                                .build();
        mSnapshots =
                new SnapshotWriter(store, mAppender, time, scheduler, snapshots, random.nextLong());
        ConfigMeters.bind(store, registry);
        gauge(
                registry,
                "staleness",
                "Time since the log had been read to its end",
                this::staleness);
        gauge(registry, "snapshot.age", "Age of the newest snapshot in the log", this::snapshotAge);
    }

    private void gauge(
            MeterRegistry registry,
            String name,
            String description,
            Supplier<Optional<Duration>> value) {
        Gauge.builder("boragethread.config." + name, this, s -> seconds(value.get()))
                .description(description + "; not a number if that never was")
                .baseUnit("seconds")
                .register(registry);
    }

    private static double seconds(Optional<Duration> time) {
        return time.map(t -> t.toNanos() / NANOS_PER_SECOND).orElse(Double.NaN);
    }

    void start() {
        mFollower.start(mStore.current().revision() + 1);
        mSnapshots.start();
    }

    void stop() {
        mFollower.stop();
        mSnapshots.stop();
    }

    /** Returns the time since the stream was last read to its end, or empty if it never was. */
    Optional<Duration> staleness() {
        return mFollower.staleness();
    }

    /** Returns the age of the newest snapshot in the log, or empty if none was seen. */
    Optional<Duration> snapshotAge() {
        return mSnapshots.newestAge();
    }

    RecordWriter writer() {
        return mAppender;
    }
}
