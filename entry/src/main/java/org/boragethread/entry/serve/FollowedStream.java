package org.boragethread.entry.serve;

import org.boragethread.core.log.AppenderSettings;
import org.boragethread.core.log.BatchingAppender;
import org.boragethread.core.log.StreamFollower;
import org.boragethread.core.record.RecordStateMachine;
import org.boragethread.core.record.StateMachineHandler;

/** One stream of the log that is folded here and written to. */
final class FollowedStream {

    private final StateMachineHandler mHandler;
    private final StreamFollower mFollower;

    private FollowedStream(
            LogAccess access, String name, BatchingAppender appender, RecordStateMachine fold) {
        mHandler = new StateMachineHandler(fold, appender::readBack);
        mFollower =
                new StreamFollower.Builder()
                        .stream(access.log(), name)
                                .time(access.time(), access.scheduler())
                                .handler(mHandler)
                                .seed(access.random().nextLong())
                                .build();
    }

    /** Makes a stream's writer, which works once the stream is followed. */
    static BatchingAppender appender(LogAccess access, String name) {
        return new BatchingAppender(
                access.log(),
                name,
                access.scheduler(),
                access.appendRateLimiter(),
                new AppenderSettings.Builder().build(),
                access.random().nextLong());
    }

    /** Makes a stream that is not yet read. */
    static FollowedStream of(
            LogAccess access, String name, BatchingAppender appender, RecordStateMachine fold) {
        return new FollowedStream(access, name, appender, fold);
    }

    void start() {
        mFollower.start(0);
    }

    void stop() {
        mFollower.stop();
    }

    /** Tells whether the stream has been read to its end once. */
    boolean isCaughtUp() {
        return mHandler.isCaughtUp();
    }

    /** Tells whether the stream has been read to its end once, or the log is known to be down. */
    boolean isCaughtUpOrFailing() {
        return mHandler.isCaughtUp() || mFollower.isFailing();
    }
}
