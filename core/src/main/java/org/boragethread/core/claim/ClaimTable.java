package org.boragethread.core.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.record.RecordCodec;
import org.boragethread.model.claim.ClaimRef;

/**
 * The claim state machines of all partitions. Thread-safe: each state machine is guarded by its own
 * lock, and no two locks are held at the same time.
 */
public final class ClaimTable {

    /** Encoding of claim records. */
    public static final RecordCodec<ClaimRecord> CODEC = new RecordCodec<>(ClaimRecord.class);

    private final List<ClaimStateMachine> mPartitions = new ArrayList<>();

    /** Creates an empty state machine for each partition. */
    public ClaimTable(ClaimSettings settings) {
        this(settings.partitions(), settings.retention(), ClaimPolicy.STRICT);
    }

    ClaimTable(int partitions, Duration retention, ClaimPolicy policy) {
        for (int i = 0; i < partitions; i++) {
            mPartitions.add(new ClaimStateMachine(i, retention, policy));
        }
    }

    /** Applies the next record of a partition's stream. */
    public ClaimApplyResult apply(
            int partition, long offset, long timeMillis, String recordId, byte[] data) {
        Optional<RecordCodec.Decoded<ClaimRecord>> record = CODEC.decode(data);
        ClaimStateMachine machine = mPartitions.get(partition);
        synchronized (machine) {
            if (record.isEmpty()) {
                machine.skip(offset, timeMillis);
                return new ClaimApplyResult.Ignored();
            }
            return machine.apply(offset, timeMillis, recordId, record.get().header());
        }
    }

    /** Clears a partition because older records of its stream can no longer be read. */
    public void restart(int partition, long firstOffset) {
        ClaimStateMachine machine = mPartitions.get(partition);
        synchronized (machine) {
            machine.restart(firstOffset);
        }
    }

    /** Returns the offset from which the stream of a partition must be read. */
    public long nextOffset(int partition) {
        ClaimStateMachine machine = mPartitions.get(partition);
        synchronized (machine) {
            return machine.nextOffset();
        }
    }

    /** Returns the state of a key, or empty if no claim for it is known. */
    public Optional<ClaimView> find(KeyHash key) {
        ClaimStateMachine machine = mPartitions.get(partitionOf(key));
        synchronized (machine) {
            return machine.find(key);
        }
    }

    /** Returns the state of a claim, or empty if the claim is neither open nor unresolved. */
    public Optional<ClaimView> findOpen(ClaimRef ref) {
        ClaimStateMachine machine = mPartitions.get(ref.partition());
        synchronized (machine) {
            return machine.findOpen(ref.offset());
        }
    }

    /** Returns the partition of a key. */
    public int partitionOf(KeyHash key) {
        return key.partition(mPartitions.size());
    }

    /** Returns the number of partitions. */
    public int partitions() {
        return mPartitions.size();
    }

    /** Returns the number of tracked keys. */
    public int size() {
        int size = 0;
        for (ClaimStateMachine machine : mPartitions) {
            synchronized (machine) {
                size += machine.size();
            }
        }
        return size;
    }

    /** Returns the number of open and unresolved claims. */
    public int openClaims() {
        int open = 0;
        for (ClaimStateMachine machine : mPartitions) {
            synchronized (machine) {
                open += machine.openClaims();
            }
        }
        return open;
    }
}
