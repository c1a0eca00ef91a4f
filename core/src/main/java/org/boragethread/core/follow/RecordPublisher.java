package org.boragethread.core.follow;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.callback.Activity;
import org.boragethread.core.callback.Supervisor;
import org.boragethread.core.time.Scheduler;

/**
 * Writes the newest value of each key to a topic. What is put during a write or an outage is
 * written together in one call afterwards. Not thread-safe.
 */
public final class RecordPublisher {

    /** Keys that wait for a write; the oldest are dropped beyond that. */
    private static final int MAX_PENDING = 1024;

    /** Records in one call. */
    private static final int MAX_BATCH = 64;

    private final TopicAppender mAppender;
    private final Scheduler mScheduler;
    private final Duration mRetryDelay;
    private final Activity mActivity;
    private final Map<String, Optional<byte[]>> mPending = new LinkedHashMap<>();
    private boolean mWriting;

    /**
     * Creates a publisher.
     *
     * @param retryDelay delay after which a failed write is repeated
     * @param supervisor told of each callback that threw; the write is repeated then
     */
    public RecordPublisher(
            TopicAppender appender,
            Scheduler scheduler,
            Duration retryDelay,
            Supervisor supervisor) {
        mAppender = appender;
        mScheduler = scheduler;
        mRetryDelay = retryDelay;
        mActivity = supervisor.supervise(this::retry);
    }

    /** Writes a value as soon as possible; an empty one deletes the key. */
    public void put(String key, Optional<byte[]> value) {
        mPending.put(key, value);
        if (mPending.size() > MAX_PENDING) {
            mPending.remove(mPending.keySet().iterator().next());
        }
        mActivity.run(this::write);
    }

    private void write() {
        if (mWriting || mPending.isEmpty()) {
            return;
        }
        mWriting = true;
        List<KeyedRecord> batch = new ArrayList<>();
        for (Map.Entry<String, Optional<byte[]>> entry : mPending.entrySet()) {
            if (batch.size() == MAX_BATCH) {
                break;
            }
            batch.add(new KeyedRecord(-1, entry.getKey(), entry.getValue()));
        }
        mAppender.append(batch, mActivity.bind(result -> onWritten(batch, result)));
    }

    private void onWritten(List<KeyedRecord> batch, Either<ReadFailure, Boolean> result) {
        mWriting = false;
        if (result.isLeft()) {
            retry();
            return;
        }
        for (KeyedRecord record : batch) {
            // A value that was put during the write still has to be written.
            if (mPending.get(record.key()) == record.value()) {
                mPending.remove(record.key());
            }
        }
        write();
    }

    private void retry() {
        mWriting = true;
        mScheduler.schedule(
                mRetryDelay,
                mActivity.bind(
                        () -> {
                            mWriting = false;
                            write();
                        }));
    }
}
