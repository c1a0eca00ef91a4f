package org.boragethread.core.record;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.boragethread.core.log.LogBatch;
import org.boragethread.core.log.LogError;
import org.boragethread.core.log.LogRecord;
import org.boragethread.core.log.StreamHandler;

/**
 * Applies the records of one stream to a state machine, and then confirms them to the writer of the
 * stream.
 */
public final class StateMachineHandler implements StreamHandler {

    private final RecordStateMachine mStateMachine;
    private final Consumer<LogRecord> mReadBack;
    private volatile boolean mIsCaughtUp;

    /**
     * Creates a handler.
     *
     * @param readBack receives each record after it has been applied, for example {@code
     *     appender::readBack}
     */
    public StateMachineHandler(RecordStateMachine stateMachine, Consumer<LogRecord> readBack) {
        mStateMachine = Objects.requireNonNull(stateMachine, "stateMachine");
        mReadBack = Objects.requireNonNull(readBack, "readBack");
    }

    @Override
    public void onBatch(LogBatch batch, boolean caughtUp) {
        for (LogRecord record : batch.records()) {
            mStateMachine.apply(record.offset(), record.timeMillis(), record.id(), record.data());
            mReadBack.accept(record);
        }
        if (caughtUp) {
            mIsCaughtUp = true;
        }
    }

    @Override
    public CompletableFuture<Long> onExpired(LogError.Expired expired) {
        mIsCaughtUp = false;
        mStateMachine.restart(expired.first());
        return CompletableFuture.completedFuture(expired.first());
    }

    /**
     * Returns whether the stream has been read to its end since the state machine was last
     * restarted.
     */
    public boolean isCaughtUp() {
        return mIsCaughtUp;
    }
}
