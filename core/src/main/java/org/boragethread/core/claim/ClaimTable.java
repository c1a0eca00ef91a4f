package org.boragethread.core.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.record.RecordCodec;
import org.boragethread.model.claim.ClaimRef;

/**
 * The claim ledgers of all partitions that this process follows. Safe for use by several threads:
 * each ledger has a lock of its own, and no two are held together.
 */
public final class ClaimTable {

    /** Encoding of claim records. */
    public static final RecordCodec<ClaimRecord> CODEC = new RecordCodec<>(ClaimRecord.class);

    private final List<ClaimStateMachine> mPartitions = new ArrayList<>();

    /** Makes empty ledgers. */
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
        ClaimStateMachine ledger = mPartitions.get(partition);
        synchronized (ledger) {
            if (record.isEmpty()) {
                ledger.skip(offset, timeMillis);
                return new ClaimApplyResult.Ignored();
            }
            return ledger.apply(offset, timeMillis, recordId, record.get().header());
        }
    }

    /** Forgets a partition because older records of its stream can no longer be read. */
    public void restart(int partition, long firstOffset) {
        ClaimStateMachine ledger = mPartitions.get(partition);
        synchronized (ledger) {
            ledger.restart(firstOffset);
        }
    }

    /** Returns the offset from which a partition's stream must be read. */
    public long nextOffset(int partition) {
        ClaimStateMachine ledger = mPartitions.get(partition);
        synchronized (ledger) {
            return ledger.nextOffset();
        }
    }

    /** Returns the state of a key, or empty if no claim for it is known. */
    public Optional<ClaimView> find(KeyHash key) {
        ClaimStateMachine ledger = mPartitions.get(partitionOf(key));
        synchronized (ledger) {
            return ledger.find(key);
        }
    }

    /** Returns the state of an open or unresolved claim. */
    public Optional<ClaimView> findOpen(ClaimRef ref) {
        ClaimStateMachine ledger = mPartitions.get(ref.partition());
        synchronized (ledger) {
            return ledger.findOpen(ref.offset());
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

    /** Returns the number of keys that are kept. */
    public int size() {
        int size = 0;
        for (ClaimStateMachine ledger : mPartitions) {
            synchronized (ledger) {
                size += ledger.size();
            }
        }
        return size;
    }

    /** Returns the number of claims without an outcome. */
    public int openClaims() {
        int open = 0;
        for (ClaimStateMachine ledger : mPartitions) {
            synchronized (ledger) {
                open += ledger.openClaims();
            }
        }
        return open;
    }
}
