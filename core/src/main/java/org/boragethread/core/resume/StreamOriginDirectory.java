package org.boragethread.core.resume;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.boragethread.core.member.Member;
import org.boragethread.core.time.TimeSource;

/**
 * Remembers together with the other entries where streams began. The entry that forwards a stream
 * and the owners of its key know it; any entry can ask the owners. Not thread-safe.
 */
public final class StreamOriginDirectory {

    private final String mSelf;
    private final StreamOriginPeers mPeers;
    private final Runnable mOnNotRecorded;
    private final StreamOriginTable mTable;
    private final StreamOwners mOwners = new StreamOwners();

    /**
     * Creates a directory that knows no stream.
     *
     * @param self address of this entry
     * @param onNotRecorded called when an owner was not told of a stream
     */
    public StreamOriginDirectory(
            String self, TimeSource time, StreamOriginPeers peers, Runnable onNotRecorded) {
        mSelf = self;
        mPeers = peers;
        mOnNotRecorded = onNotRecorded;
        mTable = new StreamOriginTable(time);
    }

    /** Replaces the list of live entries, which includes this one. */
    public void setMembers(List<Member> members) {
        mOwners.setMembers(members);
    }

    /** Remembers here and at the owners where a stream began. */
    public void record(StreamKey key, StreamOrigin origin) {
        mTable.put(key, origin);
        List<String> owners = otherOwners(key);
        for (int i = 0; i < Math.min(StreamOwners.REPLICAS, owners.size()); i++) {
            Runnable onFailure =
                    i == 0 && owners.size() > StreamOwners.REPLICAS
                            ? () -> recordAt(owners.get(StreamOwners.REPLICAS), key, origin)
                            : mOnNotRecorded;
            mPeers.record(owners.get(i), key, origin, onFailure);
        }
    }

    private void recordAt(String owner, StreamKey key, StreamOrigin origin) {
        mPeers.record(owner, key, origin, mOnNotRecorded);
    }

    private List<String> otherOwners(StreamKey key) {
        return mOwners.of(key).stream().filter(owner -> !owner.equals(mSelf)).toList();
    }

    /** Remembers here what another entry has reported. */
    public void remember(StreamKey key, StreamOrigin origin) {
        mTable.put(key, origin);
    }

    /** Returns what is known here. */
    public Optional<StreamOrigin> recall(StreamKey key) {
        return mTable.find(key);
    }

    /**
     * Finds out where a stream began. The owners are also asked if it is known here, since others
     * may have reported something else to them.
     */
    public void find(StreamKey key, Consumer<Optional<StreamOrigin>> callback) {
        Optional<StreamOrigin> known = mTable.find(key);
        List<String> owners = otherOwners(key);
        if (owners.isEmpty()) {
            callback.accept(known);
            return;
        }
        Answers answers = new Answers(known, owners.size(), callback);
        owners.forEach(owner -> mPeers.query(owner, key, answers::add));
    }

    /** Waits for the answers of all owners, so that a contradiction between them is noticed. */
    private static final class Answers {

        private final List<StreamOrigin> mOrigins = new ArrayList<>();
        private final Consumer<Optional<StreamOrigin>> mCallback;
        private int mMissing;

        Answers(
                Optional<StreamOrigin> known,
                int missing,
                Consumer<Optional<StreamOrigin>> callback) {
            known.ifPresent(mOrigins::add);
            mMissing = missing;
            mCallback = callback;
        }

        void add(Optional<StreamOrigin> answer) {
            answer.ifPresent(mOrigins::add);
            mMissing--;
            if (mMissing == 0) {
                mCallback.accept(mOrigins.stream().reduce(StreamOrigin::merge));
            }
        }
    }
}
