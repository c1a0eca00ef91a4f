package org.boragethread.entry.serve;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.boragethread.core.config.Bootstrap;
import org.boragethread.core.config.ConfigFeed;
import org.boragethread.core.config.ConfigStore;
import org.boragethread.core.config.PeerConfigs;
import org.boragethread.core.log.AppendBudget;
import org.boragethread.core.log.AppenderSettings;
import org.boragethread.core.log.FollowerSettings;
import org.boragethread.core.log.GroupedAppender;
import org.boragethread.core.log.PlatformLog;
import org.boragethread.core.log.RecordWriter;
import org.boragethread.core.log.StreamFollower;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.config.Configuration;

/** Follows the configuration stream of the platform's log and writes to it. */
final class ConfigService {

    /** Stream of configuration records. */
    static final String STREAM = "config";

    private final StreamFollower mFollower;
    private final GroupedAppender mAppender;
    private final ConfigStore mStore;

    ConfigService(
            PlatformLog log,
            ConfigStore store,
            PeerConfigs peers,
            AppendBudget budget,
            TimeSource time,
            Scheduler scheduler,
            RandomGenerator random) {
        mStore = store;
        mAppender =
                new GroupedAppender(
                        log,
                        STREAM,
                        scheduler,
                        budget,
                        new AppenderSettings.Builder().groupDelay(Duration.ZERO).build(),
                        random.nextLong());
        Bootstrap bootstrap = new Bootstrap(log, STREAM, store, peers);
        mFollower =
                new StreamFollower.Builder()
                        .stream(log, STREAM)
                                .time(time, scheduler)
                                .settings(FollowerSettings.DEFAULT)
                                .handler(new ConfigFeed(store, mAppender, bootstrap))
                                .seed(random.nextLong())
                                .build();
    }

    void start() {
        mFollower.start(mStore.current().revision() + 1);
    }

    void stop() {
        mFollower.stop();
    }

    RecordWriter writer() {
        return mAppender;
    }

    Configuration current() {
        return mStore.current();
    }

    boolean isLoaded() {
        return mStore.isLoaded();
    }
}
