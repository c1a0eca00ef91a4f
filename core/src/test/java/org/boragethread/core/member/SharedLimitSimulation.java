package org.boragethread.core.member;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.time.TimeSource;

/**
 * Entries that share one limit by the partitions of a simulated store, under failures of entries,
 * of their clocks and of their connections to the store.
 */
public final class SharedLimitSimulation {

    private static final Duration LEASE_TIME = Duration.ofSeconds(5);
    private static final Duration STEP = Duration.ofMillis(100);
    private static final int RENEWAL_STEPS = 9;
    private static final int PARTITIONS = 36;

    /** Steps without a renewal after which the store drops a member. */
    private static final int EXPIRY_STEPS = 25;

    /** Steps for which a stopping entry serves on after it has left the group. */
    private static final int STOP_STEPS = 50;

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final SplittableRandom mRandom;
    private final List<Entry> mEntries = new ArrayList<>();
    private final Store mStore = new Store();
    private final List<Long> mArrivals = new ArrayList<>();
    private final UserFactory mUsers;
    private final Duration mMaxDelay;
    private final boolean mDisturbed;
    private int mStep;
    private int mNames;

    /** One entry that uses a limit whenever it may. */
    @FunctionalInterface
    public interface User {

        /** Uses the limit once if that is allowed now; returns whether it was. */
        boolean tryUse();
    }

    /** Creates what uses the limit in one run of an entry. */
    @FunctionalInterface
    public interface UserFactory {

        /**
         * Creates a user.
         *
         * @param time clock of the entry
         * @param lease lease of the entry
         */
        User create(TimeSource time, PartitionLease lease);
    }

    /**
     * Creates a simulation.
     *
     * @param maxDelay longest time from a use to its arrival
     * @param disturbed whether entries, clocks and connections fail
     */
    public SharedLimitSimulation(
            int entries, long seed, UserFactory users, Duration maxDelay, boolean disturbed) {
        mUsers = users;
        mMaxDelay = maxDelay;
        mDisturbed = disturbed;
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < entries; i++) {
            mEntries.add(new Entry());
        }
    }

    /** Runs for a time. */
    public void run(Duration length) {
        while (mTime.nanoTime() < length.toNanos()) {
            mStep++;
            mStore.expireMembers();
            if (happens(40)) {
                mStore.reassignAll();
            }
            for (int i = 0; i < mEntries.size(); i++) {
                if (happens(300) || mEntries.get(i).isStopped()) {
                    mEntries.set(i, new Entry());
                }
                mEntries.get(i).step();
            }
            mTime.advance(STEP);
        }
    }

    /** Kills the entries whose leases match and starts others in their places. */
    public void replace(Predicate<PartitionLease> leases) {
        for (int i = 0; i < mEntries.size(); i++) {
            if (leases.test(mEntries.get(i).mLease)) {
                mEntries.set(i, new Entry());
            }
        }
    }

    /**
     * Suspends the entries whose leases match, except for the last entry, so that one works on;
     * their monotonic clocks stand still.
     */
    public void suspend(Predicate<PartitionLease> leases, Duration length) {
        mEntries.subList(0, mEntries.size() - 1).stream()
                .filter(entry -> leases.test(entry.mLease))
                .forEach(entry -> entry.mSuspendedUntil = mStep + steps(length));
    }

    /** Cuts all entries off from the store. */
    public void cutOffAll(Duration length) {
        mEntries.forEach(entry -> entry.mCutOffUntil = mStep + steps(length));
    }

    private static int steps(Duration length) {
        return (int) (length.toNanos() / STEP.toNanos());
    }

    /** Returns whether a disturbance begins that strikes in one of the given number of steps. */
    private boolean happens(int steps) {
        return mDisturbed && mRandom.nextInt(steps) == 0;
    }

    /** Returns the uses that have arrived from a time on, in seconds. */
    public long arrivalsFrom(double seconds) {
        return mArrivals.stream().filter(arrival -> arrival >= seconds * 1e9).count();
    }

    /** Returns the most uses that arrived within one window. */
    public int mostArrivals(Duration window) {
        List<Long> arrivals = mArrivals.stream().sorted().toList();
        int most = 0;
        int first = 0;
        for (int last = 0; last < arrivals.size(); last++) {
            while (arrivals.get(last) - arrivals.get(first) >= window.toNanos()) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    /** One run of an entry; a restarted entry is another member. */
    private final class Entry implements TimeSource {

        private final String mName = "entry-" + mNames++;
        private final PartitionLease mLease = new PartitionLease(this, PARTITIONS, LEASE_TIME);
        private final User mUser = mUsers.create(this, mLease);
        private final int mRenewalStep = mRandom.nextInt(RENEWAL_STEPS);
        private long mSuspendedNanos;
        private long mWallClockMillis;
        private int mCutOffUntil;
        private int mSuspendedUntil;
        private int mGeneration;
        private boolean mLeft;
        private int mStepsLeft = STOP_STEPS;

        boolean isStopped() {
            return mStepsLeft == 0;
        }

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
            if (happens(300)) {
                mSuspendedUntil = mStep + mRandom.nextInt(80);
            }
            if (happens(200)) {
                mCutOffUntil = mStep + mRandom.nextInt(100);
            }
            if (happens(400)) {
                // Only jumps ahead: together with a suspension, a jump back hides elapsed time.
                mWallClockMillis += mRandom.nextInt(20_000);
            }
            if (mLeft) {
                mStepsLeft--;
            } else if (mStep >= mCutOffUntil) {
                renewOrLeave();
            }
            useAll();
        }

        private void renewOrLeave() {
            if (happens(300)) {
                mLeft = true;
                leave();
            } else if (mStep % RENEWAL_STEPS == mRenewalStep) {
                renew();
            }
        }

        private void renew() {
            ClockReading sentAt = ClockReading.now(this);
            Set<Integer> partitions = mStore.join(mName);
            boolean responseLost = happens(20);
            if (!responseLost) {
                mLease.renew(sentAt, partitions);
                mGeneration = mStore.mGeneration;
            }
        }

        private void leave() {
            ClockReading sentAt = ClockReading.now(this);
            Set<Integer> partitions = mStore.join(mName);
            if (mStore.mGeneration == mGeneration) {
                mLease.renew(sentAt, partitions);
            }
            mStore.leave(mName);
        }

        /** Uses all units that are free, as under a load without end. */
        private void useAll() {
            while (mUser.tryUse()) {
                long delay = (long) (mRandom.nextDouble() * mMaxDelay.toNanos());
                mArrivals.add(mTime.nanoTime() + delay);
            }
        }
    }

    /** Assigns each partition to one member, with a preference for its present owner. */
    private final class Store {

        private final Map<String, Integer> mLastJoins = new HashMap<>();
        private final Map<Integer, String> mOwners = new HashMap<>();
        private int mGeneration;

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

        void leave(String member) {
            mLastJoins.remove(member);
            mOwners.values().removeIf(owner -> owner.equals(member));
            balance();
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
            mGeneration++;
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
