package org.boragethread.core.follow;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.boragethread.core.callback.Activity;
import org.boragethread.core.callback.Supervisor;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;

/**
 * Delivers the content of a compacted topic to a listener: first a snapshot, then all further
 * records in order. It starts again with a snapshot if the store has deleted records that were not
 * read yet, or works with another copy of its records.
 *
 * <p>If the listener throws, the failure is reported, and the listener gets the further records and
 * later a new snapshot. Until it has accepted all of that, it is not told that it is up to date.
 * Not thread-safe.
 */
public final class TopicFollower {

    /** Bounds the delay before a snapshot for a listener that throws again and again. */
    private static final int MAX_RETRY_FACTOR = 16;

    private final CompactedTopic mTopic;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final ReadTiming mTiming;
    private final TopicListener mListener;
    private final TopicRelay mRelay;
    private final Supervisor mSupervisor;
    private final Activity mActivity;
    private long mNextOffset = -1;
    private StoreEra mEra = StoreEra.UNKNOWN;
    private boolean mUnavailable;
    private boolean mIncomplete;
    private boolean mSnapshotDue;
    private int mRetryFactor = 1;
    private boolean mStopped;

    /**
     * Creates a follower that has not started.
     *
     * @param relay passes on to other processes what this one reads from the store
     * @param supervisor told of each callback that threw
     */
    public TopicFollower(
            CompactedTopic topic,
            Scheduler scheduler,
            TimeSource time,
            ReadTiming timing,
            TopicListener listener,
            TopicRelay relay,
            Supervisor supervisor) {
        mTopic = topic;
        mScheduler = scheduler;
        mTime = time;
        mTiming = timing;
        mListener = listener;
        mRelay = relay;
        mSupervisor = supervisor;
        mActivity = supervisor.supervise(this::restart);
    }

    /** Starts reading. */
    public void start() {
        mActivity.run(this::readSnapshot);
    }

    /** Stops reading for good; the listener is not called any more. */
    public void stop() {
        mStopped = true;
        mRelay.stop();
    }

    private void restart() {
        mScheduler.schedule(mTiming.retry(), mActivity.bind(this::readSnapshot));
    }

    private void readSnapshot() {
        if (mStopped) {
            return;
        }
        readSnapshotPart(Optional.empty(), new Snapshot(ClockReading.now(mTime)));
    }

    private void readSnapshotPart(Optional<String> after, Snapshot snapshot) {
        mTopic.readSnapshotPart(
                after, mActivity.bind(response -> onSnapshotPart(response, snapshot)));
    }

    private void onSnapshotPart(Either<ReadFailure, SnapshotPart> response, Snapshot snapshot) {
        if (mStopped) {
            return;
        }
        if (response.isLeft()) {
            onFailure(response.getLeft());
            runAfter(mTiming.retry(), this::readSnapshot);
            return;
        }
        SnapshotPart part = response.get();
        if (snapshot.isOfOtherEra(part)) {
            readSnapshot();
            return;
        }
        snapshot.add(part);
        if (part.hasMore() && !part.records().isEmpty()) {
            String last = part.records().get(part.records().size() - 1).key();
            readSnapshotPart(Optional.of(last), snapshot);
            return;
        }
        onSuccess();
        // Continues from the end offset of the first part, as records may have been written since.
        boolean restored = snapshot.mEra.differsFrom(mEra) || snapshot.mEndOffset < mNextOffset;
        mNextOffset = snapshot.mEndOffset;
        mEra = snapshot.mEra.orIfUnknown(mEra);
        mIncomplete = false;
        mSnapshotDue = false;
        if (restored) {
            tell(TopicListener::onStoreRestored);
        }
        tell(listener -> listener.onSnapshot(snapshot.mValues));
        mRelay.onSnapshot(mNextOffset, mEra);
        tellUpToDate(snapshot.mSentAt);
        readRecords();
    }

    private void readRecords() {
        if (mStopped) {
            return;
        }
        if (mSnapshotDue) {
            readSnapshot();
            return;
        }
        ClockReading sentAt = ClockReading.now(mTime);
        // During an outage, a read without long polling detects the end of the outage soonest.
        Duration wait = mUnavailable ? Duration.ZERO : mTiming.longPollTime();
        mTopic.read(mNextOffset, wait, mActivity.bind(response -> onPage(response, sentAt)));
    }

    private void onPage(Either<ReadFailure, RecordPage> response, ClockReading sentAt) {
        if (mStopped) {
            return;
        }
        if (response.isLeft()) {
            if (response.getLeft().trimmed()) {
                readSnapshot();
                return;
            }
            onFailure(response.getLeft());
            runAfter(mTiming.retry(), this::readRecords);
            return;
        }
        RecordPage page = response.get();
        if (page.endOffset() < mNextOffset || page.era().differsFrom(mEra)) {
            mRelay.stop();
            readSnapshot();
            return;
        }
        onSuccess();
        mEra = mEra.orIfUnknown(page.era());
        deliver(page);
        if (mNextOffset < page.endOffset()) {
            readRecords();
            return;
        }
        tellUpToDate(page.relayAge().map(sentAt::minus).orElse(sentAt));
        if (page.relayAge().isPresent()) {
            // The relay responds after its next read of the store, so there is no pause here.
            readRecords();
            return;
        }
        mRelay.onUpToDate(mNextOffset, sentAt);
        runAfter(mTiming.pause(), this::readRecords);
    }

    private void deliver(RecordPage page) {
        for (KeyedRecord record : page.records()) {
            if (!record.key().isEmpty()) {
                tell(listener -> listener.onChange(record.key(), record.value()));
            }
        }
        if (page.relayAge().isPresent()) {
            mRelay.stop();
        } else {
            mRelay.onRecords(mNextOffset, page.records());
        }
        mNextOffset = page.nextOffset();
    }

    private void onFailure(ReadFailure failure) {
        mRelay.stop();
        if (!mUnavailable) {
            mUnavailable = true;
            tell(listener -> listener.onStoreUnavailable(failure.detail()));
        }
    }

    private void onSuccess() {
        if (mUnavailable) {
            mUnavailable = false;
            tell(TopicListener::onStoreAvailable);
        }
    }

    private void runAfter(Duration delay, Runnable task) {
        if (delay.isZero()) {
            task.run();
            return;
        }
        mScheduler.schedule(delay, mActivity.bind(task));
    }

    private void tell(Consumer<TopicListener> call) {
        mSupervisor.run(() -> call.accept(mListener), this::onListenerFailed);
    }

    private void tellUpToDate(ClockReading asOf) {
        if (mIncomplete) {
            return;
        }
        tell(listener -> listener.onUpToDate(asOf));
        if (!mIncomplete) {
            mRetryFactor = 1;
        }
    }

    /** Called when the listener, or a timer or call that it started, threw. */
    private void onListenerFailed() {
        if (!mIncomplete) {
            mIncomplete = true;
            mScheduler.schedule(
                    mTiming.retry().multipliedBy(mRetryFactor), () -> mSnapshotDue = mIncomplete);
            mRetryFactor = Math.min(MAX_RETRY_FACTOR, 2 * mRetryFactor);
        }
    }

    /** A snapshot that is being assembled from its parts. */
    private static final class Snapshot {

        private final ClockReading mSentAt;
        private final Map<String, byte[]> mValues = new HashMap<>();
        private long mEndOffset = -1;
        private StoreEra mEra = StoreEra.UNKNOWN;

        Snapshot(ClockReading sentAt) {
            mSentAt = sentAt;
        }

        boolean isOfOtherEra(SnapshotPart part) {
            return part.era().differsFrom(mEra);
        }

        void add(SnapshotPart part) {
            if (mEndOffset < 0) {
                mEndOffset = part.endOffset();
                mEra = part.era();
            }
            for (KeyedRecord record : part.records()) {
                record.value().ifPresent(value -> mValues.put(record.key(), value));
            }
        }
    }
}
