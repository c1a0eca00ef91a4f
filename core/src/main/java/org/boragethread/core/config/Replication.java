package org.boragethread.core.config;

import io.vavr.control.Either;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.boragethread.model.config.Configuration;

/**
 * Sends configuration updates to peers that are behind. All connections of a process share one
 * instance, so that a snapshot is created once for many peers. Thread-safe.
 */
public final class Replication {

    /** Maximum size of a snapshot part, or of a delta, in one frame, in bytes. */
    public static final int MAX_FRAME_BYTES = 512 * 1024;

    private final ConfigStore mStore;
    private List<ConfigSnapshotPart> mParts = List.of();

    /** Creates an instance that serves the configuration of the given store. */
    public Replication(ConfigStore store) {
        mStore = Objects.requireNonNull(store, "store");
    }

    /**
     * Returns the response to a peer that has asked for the changes after its revision. A long
     * delta is truncated, and a snapshot may be older than the current revision; the peer then asks
     * again.
     *
     * @return empty if the peer is not behind this process
     */
    public Optional<ReplicationResponse> response(long after) {
        long revision = mStore.current().revision();
        if (after >= revision) {
            return Optional.empty();
        }
        Optional<ConfigDelta> delta = mStore.delta(after, MAX_FRAME_BYTES);
        if (delta.isPresent()) {
            return delta.map(ReplicationResponse.Delta::new);
        }
        return Optional.of(new ReplicationResponse.Snapshot(snapshot()));
    }

    /** Returns the parts of a snapshot from which a delta leads to the current revision. */
    private synchronized List<ConfigSnapshotPart> snapshot() {
        if (!mParts.isEmpty() && mStore.delta(mParts.get(0).revision(), 0).isPresent()) {
            return mParts;
        }
        Configuration current = mStore.current();
        mParts = SnapshotFormat.split(current, MAX_FRAME_BYTES);
        return mParts;
    }

    /** Creates a receiver for one connection. */
    public Receiver receiver() {
        return new Receiver(mStore);
    }

    /** Applies the updates that one peer sends. Not thread-safe. */
    public static final class Receiver {
        private final ConfigStore mTarget;
        private final SnapshotAssembler mAssembler = new SnapshotAssembler();
        private long mPeerRevision = Configuration.NO_REVISION;

        private Receiver(ConfigStore target) {
            mTarget = target;
        }

        /** Returns the revision after which to request changes, if the peer is ahead. */
        public Optional<Long> pullAfter(long peerRevision) {
            mPeerRevision = Math.max(mPeerRevision, peerRevision);
            long own = mTarget.current().revision();
            return peerRevision > own ? Optional.of(own) : Optional.empty();
        }

        /**
         * Applies a delta; on a gap error, the changes after the current revision must be pulled.
         */
        public Either<ConfigError, Configuration> receive(ConfigDelta delta) {
            return mTarget.applyDelta(delta).peek(this::markLoadedIfCaughtUp);
        }

        /** Collects a part of a snapshot and applies the snapshot once it is complete. */
        public Optional<Either<ConfigError, Configuration>> receive(ConfigSnapshotPart part) {
            return mAssembler
                    .add("", part)
                    .map(e -> e.map(mTarget::applySnapshot).peek(this::markLoadedIfCaughtUp));
        }

        /** Marks the store as loaded once it has reached the peer's last known revision. */
        private void markLoadedIfCaughtUp(Configuration current) {
            boolean hasState = mPeerRevision != Configuration.NO_REVISION;
            if (hasState && current.revision() >= mPeerRevision) {
                mTarget.markLoaded();
            }
        }
    }
}
