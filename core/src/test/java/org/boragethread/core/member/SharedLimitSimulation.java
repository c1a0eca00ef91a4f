package org.boragethread.core.member;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.time.TimeSource;

/**
 * Entries that share one limit by the partitions of a simulated store, under failures of entries,
 * of their clocks and of their connections to the store.
 */
final class SharedLimitSimulation {

    /** Uses that all entries together may make within {@link #WINDOW}. */
    static final int LIMIT = 14;

    private static final Duration WINDOW = Duration.ofMillis(1200);
    private static final Duration LEASE_TIME = Duration.ofSeconds(5);
    private static final Duration STEP = Duration.ofMillis(100);
    private static final int RENEWAL_STEPS = 9;
    private static final int PARTITIONS = 36;

    /** Steps without a renewal after which the store drops a member. */
    private static final int EXPIRY_STEPS = 25;

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final SplittableRandom mRandom;
    private final List<Entry> mEntries = new ArrayList<>();
    private final Store mStore = new Store();
    private final Deque<Long> mUses = new ArrayDeque<>();
    private int mStep;
    private int mNames;

    SharedLimitSimulation(int entries, long seed) {
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < entries; i++) {
            mEntries.add(new Entry());
        }
    }

    /** Runs and returns the most uses that all entries made within one window. */
    int run(Duration length) {
        int most = 0;
        while (mTime.nanoTime() < length.toNanos()) {
            mStep++;
            mStore.expireMembers();
            if (mRandom.nextInt(40) == 0) {
                mStore.reassignAll();
            }
            for (int i = 0; i < mEntries.size(); i++) {
                if (mRandom.nextInt(300) == 0) {
                    mEntries.set(i, new Entry());
                }
                mEntries.get(i).step();
            }
            most = Math.max(most, usesInWindow());
            mTime.advance(STEP);
        }
        return most;
    }

    private int usesInWindow() {
        while (!mUses.isEmpty() && mUses.peek() <= mTime.nanoTime() - WINDOW.toNanos()) {
            mUses.poll();
        }
        return mUses.size();
    }

    /** One run of an entry; a restarted entry is another member. */
    private final class Entry implements TimeSource {

        private final String mName = "entry-" + mNames++;
        private final PartitionLease mLease = new PartitionLease(this, PARTITIONS, LEASE_TIME);
        private final Deque<Long> mOwnUses = new ArrayDeque<>();
        private final int mRenewalStep = mRandom.nextInt(RENEWAL_STEPS);
        private long mSuspendedNanos;
        private long mWallClockMillis;
        private int mCutOffUntil;
        private int mSuspendedUntil;

        @Override
        public long nanoTime() {
            return mTime.nanoTime() - mSuspendedNanos;
        }

        @Override
        public Instant instant() {
            return mTime.instant().plusMillis(mWallClockMillis);
        }

        void step() {
            if (mStep < mSuspendedUntil) {
                // The monotonic clock of a suspended machine stands still.
                mSuspendedNanos += STEP.toNanos();
                return;
            }
            if (mRandom.nextInt(300) == 0) {
                mSuspendedUntil = mStep + mRandom.nextInt(80);
            }
            if (mRandom.nextInt(200) == 0) {
                mCutOffUntil = mStep + mRandom.nextInt(100);
            }
            if (mRandom.nextInt(400) == 0) {
                // Only jumps ahead: together with a suspension, a jump back hides elapsed time.
                mWallClockMillis += mRandom.nextInt(20_000);
            }
            if (mStep % RENEWAL_STEPS == mRenewalStep && mStep >= mCutOffUntil) {
                renew();
            }
            useAll();
        }

        private void renew() {
            ClockReading sentAt = ClockReading.now(this);
            Set<Integer> partitions = mStore.join(mName);
            boolean responseLost = mRandom.nextInt(20) == 0;
            if (!responseLost) {
                mLease.renew(sentAt, partitions);
            }
        }

        /** Uses all units that are free, as under a load without end. */
        private void useAll() {
            long start = mTime.nanoTime() - WINDOW.toNanos();
            while (!mOwnUses.isEmpty() && mOwnUses.peek() <= start) {
                mOwnUses.poll();
            }
            int units = mLease.units("limit", LIMIT, WINDOW);
            while (mOwnUses.size() < units) {
                mOwnUses.add(mTime.nanoTime());
                mUses.add(mTime.nanoTime());
            }
        }
    }

    /** Assigns each partition to one member, with a preference for its present owner. */
    private final class Store {

        private final Map<String, Integer> mLastJoins = new HashMap<>();
        private final Map<Integer, String> mOwners = new HashMap<>();

        Set<Integer> join(String member) {
            boolean isNew = mLastJoins.put(member, mStep) == null;
            if (isNew) {
                balance();
            }
            Set<Integer> owned = new HashSet<>();
            mOwners.forEach(
                    (partition, owner) -> {
                        if (owner.equals(member)) {
                            owned.add(partition);
                        }
                    });
            return owned;
        }

        void expireMembers() {
            if (mLastJoins.values().removeIf(joinedAt -> mStep - joinedAt > EXPIRY_STEPS)) {
                mOwners.values().removeIf(owner -> !mLastJoins.containsKey(owner));
                balance();
            }
        }

        void reassignAll() {
            mOwners.clear();
            balance();
        }

        /** Moves as few partitions as possible. */
        private void balance() {
            if (mLastJoins.isEmpty()) {
                return;
            }
            int most = -Math.floorDiv(-PARTITIONS, mLastJoins.size());
            Map<String, Integer> counts = new HashMap<>();
            mOwners.values().removeIf(owner -> counts.merge(owner, 1, Integer::sum) > most);
            List<String> members = new ArrayList<>(mLastJoins.keySet());
            int next = mRandom.nextInt(members.size());
            for (int partition = 0; partition < PARTITIONS; partition++) {
                if (!mOwners.containsKey(partition)) {
                    mOwners.put(partition, members.get(next++ % members.size()));
                }
            }
        }
    }
}
