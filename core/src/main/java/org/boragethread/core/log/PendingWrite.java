package org.boragethread.core.log;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.time.Scheduler;

/** A write whose record has not been read back. Guarded by the lock of its appender. */
final class PendingWrite {

    private final LogEntry mEntry;
    private final CompletableFuture<Either<WriteError, Long>> mFuture = new CompletableFuture<>();
    private Scheduler.Timer mTimer = () -> {};
    private boolean mMayBeWritten;
    private boolean mInFlight;
    private String mLastError = "no append was attempted in time";

    PendingWrite(LogEntry entry) {
        mEntry = entry;
    }

    LogEntry entry() {
        return mEntry;
    }

    CompletableFuture<Either<WriteError, Long>> future() {
        return mFuture;
    }

    void setTimer(Scheduler.Timer timer) {
        mTimer = timer;
    }

    void markSent() {
        mInFlight = true;
    }

    void markAppended() {
        mInFlight = false;
        mMayBeWritten = true;
        mLastError = "the append was accepted, but its record was not read back in time";
    }

    void markFailed(LogError error) {
        mInFlight = false;
        mMayBeWritten |= error.mayHaveTakenEffect();
        mLastError = error.message();
    }

    WriteError timeoutError() {
        boolean unknown = mInFlight || mMayBeWritten;
        WriteError.Kind kind =
                unknown ? WriteError.Kind.OUTCOME_UNKNOWN : WriteError.Kind.NOT_WRITTEN;
        return new WriteError(kind, "record \"%s\": %s".formatted(mEntry.id(), mLastError));
    }

    WriteError rejectionError(LogError error) {
        WriteError.Kind kind =
                mMayBeWritten ? WriteError.Kind.OUTCOME_UNKNOWN : WriteError.Kind.REJECTED;
        return new WriteError(kind, error.message());
    }

    /** Completes the future; must be called without holding the appender's lock. */
    void complete(Either<WriteError, Long> result) {
        mTimer.cancel();
        mFuture.complete(result);
    }
}
