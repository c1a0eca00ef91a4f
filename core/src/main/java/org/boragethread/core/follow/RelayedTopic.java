package org.boragethread.core.follow;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.boragethread.core.time.TimeSource;

/**
 * A topic whose records are read from the relay of another process, or from the store if this
 * process is a relay itself or the relay fails. Not thread-safe.
 */
public final class RelayedTopic implements CompactedTopic {

    /** Time for which a relay that failed is not asked. */
    private static final long AVOIDANCE_NANOS = Duration.ofSeconds(2).toNanos();

    private final CompactedTopic mStoreTopic;
    private final String mTopic;
    private final RelayClient mClient;
    private final Supplier<Optional<String>> mRelay;
    private final TimeSource mTime;
    private final Duration mTimeout;
    private String mLastRelay = "";
    private StoreEra mEra = StoreEra.UNKNOWN;
    private long mSeenUpdate;
    private long mAvoidUntil;

    /**
     * Creates a topic.
     *
     * @param relay address of the relay to read from; empty to read from the store
     * @param timeout time after which a relay that did not respond is passed over; longer than the
     *     interval between two of its reads
     */
    public RelayedTopic(
            CompactedTopic storeTopic,
            String topic,
            RelayClient client,
            Supplier<Optional<String>> relay,
            TimeSource time,
            Duration timeout) {
        mStoreTopic = storeTopic;
        mTopic = topic;
        mClient = client;
        mRelay = relay;
        mTime = time;
        mTimeout = timeout;
        mAvoidUntil = time.nanoTime();
    }

    @Override
    public void readSnapshotPart(
            Optional<String> after, Consumer<Either<ReadFailure, SnapshotPart>> callback) {
        mStoreTopic.readSnapshotPart(
                after,
                response -> {
                    response.peek(part -> mEra = part.era().orIfUnknown(mEra));
                    callback.accept(response);
                });
    }

    @Override
    public void read(
            long offset, Duration wait, Consumer<Either<ReadFailure, RecordPage>> callback) {
        Optional<String> relay = mRelay.get();
        if (relay.isEmpty() || mTime.nanoTime() < mAvoidUntil) {
            mStoreTopic.read(offset, wait, callback);
            return;
        }
        if (!relay.get().equals(mLastRelay)) {
            mLastRelay = relay.get();
            mSeenUpdate = 0;
        }
        mClient.read(
                mLastRelay,
                mTopic,
                offset,
                mEra,
                mSeenUpdate,
                mTimeout,
                response -> onUpdate(offset, response, callback));
    }

    private void onUpdate(
            long offset,
            Either<ReadFailure, TopicRelay.Update> response,
            Consumer<Either<ReadFailure, RecordPage>> callback) {
        if (response.isLeft()) {
            mAvoidUntil = mTime.nanoTime() + AVOIDANCE_NANOS;
            // Without waiting, as the last response is old by now.
            mStoreTopic.read(offset, Duration.ZERO, callback);
            return;
        }
        mSeenUpdate = response.get().update();
        callback.accept(Either.right(response.get().page()));
    }
}
