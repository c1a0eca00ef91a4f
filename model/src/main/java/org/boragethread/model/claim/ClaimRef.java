package org.boragethread.model.claim;

/**
 * Position of a claim in the platform's log.
 *
 * @param partition number of the claim stream, from 0
 * @param offset offset of the claim's record in that stream
 */
public record ClaimRef(int partition, long offset) implements Comparable<ClaimRef> {

    public ClaimRef {
        if (partition < 0 || offset < 0) {
            throw new IllegalArgumentException(
                    "claim %d/%d: partition and offset must be at least 0"
                            .formatted(partition, offset));
        }
    }

    @Override
    public int compareTo(ClaimRef other) {
        int byPartition = Integer.compare(partition, other.partition);
        return byPartition != 0 ? byPartition : Long.compare(offset, other.offset);
    }

    @Override
    public String toString() {
        return partition + "/" + offset;
    }
}
