package org.boragethread.core.config;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.log.AppendRateLimiter;
import org.boragethread.core.log.AppenderSettings;
import org.boragethread.core.log.BatchingAppender;
import org.boragethread.core.log.InMemoryLog;
import org.boragethread.core.log.StreamFollower;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.config.Change;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.Plan;

/** The configuration components of one entry process, connected to an in-memory log. */
final class TestEntry implements PeerConfigs {

    static final String STREAM = "config";
    static final Duration TIMEOUT = Duration.ofSeconds(5);
    static final Duration RETENTION = Duration.ofHours(1);

    final ConfigStore mStore = new ConfigStore(50, 1024 * 1024);
    final List<TestEntry> mPeers = new ArrayList<>();
    final ConfirmService mConfirm;
    final SnapshotWriter mSnapshots;
    final StreamFollower mFollower;

    TestEntry(String name, InMemoryLog log, ManualTimeSource time) {
        long seed = name.hashCode();
        BatchingAppender appender =
                new BatchingAppender(
                        log,
                        STREAM,
                        time,
                        new AppendRateLimiter(time, 100, 20),
                        new AppenderSettings.Builder().build(),
                        seed);
        mConfirm = new ConfirmService(mStore, appender, TIMEOUT);
        mSnapshots =
                new SnapshotWriter(
                        mStore, appender, time, time, SnapshotSettings.of(name, RETENTION), seed);
        Bootstrap bootstrap = new Bootstrap(log, STREAM, mStore, this);
        mFollower =
                new StreamFollower.Builder()
                        .stream(log, STREAM)
                                .time(time, time)
                                .handler(new ConfigStreamHandler(mStore, appender, bootstrap))
                                .seed(seed)
                                .build();
    }

    TestEntry start() {
        mFollower.start(mStore.current().revision() + 1);
        mSnapshots.start();
        return this;
    }

    void stop() {
        mFollower.stop();
        mSnapshots.stop();
    }

    Configuration config() {
        return mStore.current();
    }

    Plan plan(String id, Change... changes) {
        return TestConfigs.plan(config(), id, changes);
    }

    CompletableFuture<Either<ConfigError, Long>> confirm(Plan plan) {
        return mConfirm.confirm(plan);
    }

    @Override
    public CompletableFuture<Void> pull() {
        mPeers.forEach(this::pullFrom);
        return CompletableFuture.completedFuture(null);
    }

    /** Pulls from a peer until this entry has reached the peer's revision. */
    void pullFrom(TestEntry peer) {
        Replication.Receiver receiver = new Replication(mStore).receiver();
        Replication server = new Replication(peer.mStore);
        for (int i = 0; i < 100; i++) {
            if (receiver.pullAfter(peer.config().revision()).isEmpty()) {
                return;
            }
            ReplicationResponse response = server.response(config().revision()).orElseThrow();
            if (response instanceof ReplicationResponse.Delta d) {
                receiver.receive(d.delta());
            } else {
                ((ReplicationResponse.Snapshot) response).parts().forEach(receiver::receive);
            }
        }
        throw new AssertionError("not up to date with the peer after 100 pulls");
    }
}
