package org.boragethread.core.record;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.boragethread.core.log.LogBatch;
import org.boragethread.core.log.LogError;
import org.boragethread.core.log.LogRecord;
import org.boragethread.core.log.StreamHandler;

/** Hands the records of one stream to a fold, and then to the stream's writer as read back. */
public final class StateMachineHandler implements StreamHandler {

    private final RecordStateMachine mStateMachine;
    private final Consumer<LogRecord> mReadBack;
    private volatile boolean mIsCaughtUp;

    /**
     * Makes a handler.
     *
     * @param readBack takes each record after the fold, such as {@code appender::readBack}
     */
    public StateMachineHandler(RecordStateMachine fold, Consumer<LogRecord> readBack) {
        mStateMachine = Objects.requireNonNull(fold, "fold");
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

    /** Tells whether the stream has been read to its end since the last start of the fold. */
    public boolean isCaughtUp() {
        return mIsCaughtUp;
    }
}
