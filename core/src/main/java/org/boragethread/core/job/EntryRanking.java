package org.boragethread.core.job;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Set;
import java.util.function.Supplier;
import org.boragethread.model.job.JobId;
import org.boragethread.model.place.EntryId;

/**
 * Ranks the entries for each job by rendezvous hashing, so that they rarely compete for the same
 * job.
 */
final class EntryRanking {

    private final EntryId mSelf;
    private final Supplier<Set<EntryId>> mLive;

    EntryRanking(EntryId self, Supplier<Set<EntryId>> live) {
        mSelf = self;
        mLive = live;
    }

    /** Returns the number of live entries that rank above this one for a job. */
    int rank(JobId job) {
        long own = weight(job, mSelf);
        int rank = 0;
        for (EntryId entry : mLive.get()) {
            if (!entry.equals(mSelf) && Long.compareUnsigned(weight(job, entry), own) > 0) {
                rank++;
            }
        }
        return rank;
    }

    private static long weight(JobId job, EntryId entry) {
        return Hashing.komihash5_0()
                .hashStream()
                .putString(job.value())
                .putString(entry.value())
                .getAsLong();
    }
}
