package org.boragethread.core.config;

import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.model.config.Configuration;

/**
 * Answers peers that are behind. All connections of a process share one instance, so that many
 * peers cost one snapshot. Safe for concurrent use.
 */
public final class Replication {

    /** Greatest size of a snapshot part and of a delta that travel in one frame, in bytes. */
    public static final int MAX_FRAME_BYTES = 512 * 1024;

    private final ConfigStore mStore;
    private List<ConfigSnapshot> mParts = List.of();

    /** Serves from the given store. */
    public Replication(ConfigStore store) {
        mStore = Objects.requireNonNull(store, "store");
    }

    /**
     * Answers a peer that asked for all after its revision. A long delta is cut, and a snapshot may
     * be somewhat old; the peer then asks again.
     *
     * @return empty if the peer has all that this process has
     */
    public Optional<ConfigAnswer> answer(long after) {
        long revision = mStore.current().revision();
        if (after >= revision) {
            return Optional.empty();
        }
        Optional<ConfigDelta> delta = mStore.delta(after, MAX_FRAME_BYTES);
        if (delta.isPresent()) {
            return delta.map(ConfigAnswer.Delta::new);
        }
        return Optional.of(new ConfigAnswer.Snapshot(snapshot()));
    }

    /** Returns the parts of a snapshot from which a delta leads to the present. */
    private synchronized List<ConfigSnapshot> snapshot() {
        if (!mParts.isEmpty() && mStore.delta(mParts.get(0).revision(), 0).isPresent()) {
            return mParts;
        }
        Configuration current = mStore.current();
        mParts = SnapshotFormat.split(current, MAX_FRAME_BYTES);
        return mParts;
    }

    /** Returns a receiver for one connection. */
    public Receiver receiver() {
        return new Receiver(mStore);
    }

    /** Applies what one peer sends. Not safe for concurrent use. */
    public static final class Receiver {
        private final ConfigStore mTarget;
        private final SnapshotAssembler mAssembler = new SnapshotAssembler();
        private long mPeerRevision = Configuration.NO_REVISION;

        private Receiver(ConfigStore target) {
            mTarget = target;
        }

        /** Returns the revision to ask the peer from, if the peer is ahead. */
        public Optional<Long> pullAfter(long peerRevision) {
            mPeerRevision = Math.max(mPeerRevision, peerRevision);
            long own = mTarget.current().revision();
            return peerRevision > own ? Optional.of(own) : Optional.empty();
        }

        /** Applies a delta; on a gap, ask for all after the present revision. */
        public Either<ConfigError, Configuration> receive(ConfigDelta delta) {
            return mTarget.applyDelta(delta).peek(this::markIfWhole);
        }

        /** Takes a part of a snapshot and applies the snapshot once it is whole. */
        public Optional<Either<ConfigError, Configuration>> receive(ConfigSnapshot part) {
            return mAssembler
                    .add("", part)
                    .map(e -> e.map(mTarget::applySnapshot).peek(this::markIfWhole));
        }

        /** Marks the store as loaded once it has all that the peer is known to have. */
        private void markIfWhole(Configuration current) {
            boolean hasState = mPeerRevision != Configuration.NO_REVISION;
            if (hasState && current.revision() >= mPeerRevision) {
                mTarget.markLoaded();
            }
        }
    }
}
