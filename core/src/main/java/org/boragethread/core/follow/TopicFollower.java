package org.boragethread.core.follow;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;

/**
 * Keeps a listener up to date with a topic: first the newest record of each key, then all records
 * in order. It begins again when the store has deleted records that were not read yet, or when its
 * offsets went back. Not safe for use by several threads.
 */
public final class TopicFollower {

    private final KeyedTopic mTopic;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final FollowPace mPace;
    private final TopicListener mListener;
    private long mOffset = -1;
    private boolean mLost;

    /** Makes a follower that has not started. */
    public TopicFollower(
            KeyedTopic topic,
            Scheduler scheduler,
            TimeSource time,
            FollowPace pace,
            TopicListener listener) {
        mTopic = topic;
        mScheduler = scheduler;
        mTime = time;
        mPace = pace;
        mListener = listener;
    }

    /** Begins to read. */
    public void start() {
        readNewest(Optional.empty(), new Snapshot(Moment.now(mTime)));
    }

    private void readNewest(Optional<String> after, Snapshot snapshot) {
        mTopic.newest(after, answer -> onNewest(answer, snapshot));
    }

    private void onNewest(Either<ReadFailure, KeyedSnapshot> answer, Snapshot snapshot) {
        if (answer.isLeft()) {
            onFailure(answer.getLeft());
            later(mPace.retry(), this::start);
            return;
        }
        KeyedSnapshot part = answer.get();
        snapshot.add(part);
        if (part.hasMore() && !part.records().isEmpty()) {
            String last = part.records().get(part.records().size() - 1).key();
            readNewest(Optional.of(last), snapshot);
            return;
        }
        onSuccess();
        // Parts are read one after another; records written meanwhile are read again from here.
        mOffset = snapshot.mOffset;
        mListener.onSnapshot(snapshot.mValues);
        mListener.onCurrent(snapshot.mSentAt);
        read();
    }

    private void read() {
        Moment sentAt = Moment.now(mTime);
        // While the store is away a read that returns at once shows its return soonest.
        Duration wait = mLost ? Duration.ZERO : mPace.hold();
        mTopic.read(mOffset, wait, answer -> onPage(answer, sentAt));
    }

    private void onPage(Either<ReadFailure, KeyedPage> answer, Moment sentAt) {
        if (answer.isLeft()) {
            if (answer.getLeft().trimmed()) {
                start();
                return;
            }
            onFailure(answer.getLeft());
            later(mPace.retry(), this::read);
            return;
        }
        KeyedPage page = answer.get();
        if (page.endOffset() < mOffset) {
            start();
            return;
        }
        onSuccess();
        deliver(page);
        if (mOffset >= page.endOffset()) {
            mListener.onCurrent(sentAt);
            later(mPace.pause(), this::read);
        } else {
            read();
        }
    }

    private void deliver(KeyedPage page) {
        for (KeyedRecord record : page.records()) {
            mOffset++;
            if (!record.key().isEmpty()) {
                mListener.onChange(record.key(), record.value());
            }
        }
    }

    private void onFailure(ReadFailure failure) {
        if (!mLost) {
            mLost = true;
            mListener.onLost(failure.detail());
        }
    }

    private void onSuccess() {
        if (mLost) {
            mLost = false;
            mListener.onRegained();
        }
    }

    private void later(Duration delay, Runnable task) {
        if (delay.isZero()) {
            task.run();
            return;
        }
        mScheduler.schedule(delay, task);
    }

    /** A snapshot that is being read in parts. */
    private static final class Snapshot {

        private final Moment mSentAt;
        private final Map<String, byte[]> mValues = new HashMap<>();
        private long mOffset = -1;

        Snapshot(Moment sentAt) {
            mSentAt = sentAt;
        }

        void add(KeyedSnapshot part) {
            if (mOffset < 0) {
                mOffset = part.endOffset();
            }
            for (KeyedRecord record : part.records()) {
                record.value().ifPresent(value -> mValues.put(record.key(), value));
            }
        }
    }
}
