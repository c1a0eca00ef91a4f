package org.boragethread.entry.serve;

import org.boragethread.core.log.AppenderSettings;
import org.boragethread.core.log.BatchingAppender;
import org.boragethread.core.log.StreamFollower;
import org.boragethread.core.record.RecordStateMachine;
import org.boragethread.core.record.StateMachineHandler;

/** Follows one stream of the log and applies its records to a state machine. */
final class FollowedStream {

    private final StateMachineHandler mHandler;
    private final StreamFollower mFollower;

    private FollowedStream(
            LogAccess access,
            String name,
            BatchingAppender appender,
            RecordStateMachine stateMachine) {
        mHandler = new StateMachineHandler(stateMachine, appender::readBack);
        mFollower =
                new StreamFollower.Builder()
                        .stream(access.log(), name)
                                .time(access.time(), access.scheduler())
                                .handler(mHandler)
                                .seed(access.random().nextLong())
                                .build();
    }

    /** Creates the appender of a stream; it confirms appends only while the stream is followed. */
    static BatchingAppender appender(LogAccess access, String name) {
        return new BatchingAppender(
                access.log(),
                name,
                access.scheduler(),
                access.appendRateLimiter(),
                new AppenderSettings.Builder().build(),
                access.random().nextLong());
    }

    /** Creates a followed stream that is not started. */
    static FollowedStream of(
            LogAccess access,
            String name,
            BatchingAppender appender,
            RecordStateMachine stateMachine) {
        return new FollowedStream(access, name, appender, stateMachine);
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

    /** Tells whether the stream has been read to its end once or its log is failing. */
    boolean isCaughtUpOrFailing() {
        return mHandler.isCaughtUp() || mFollower.isFailing();
    }
}
