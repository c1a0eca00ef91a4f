package org.boragethread.core.stage;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Sends the pieces of a group to the entry that schedules them, so that the pieces of all entries
 * share calls. If that entry does not answer, the next one is asked, and this process schedules
 * them itself at last. An entry that takes a group over is told the results that requests of this
 * process hold, so that it does not fill memory that is in use. Not safe for use by several
 * threads.
 */
public final class StageRouter implements ResultKeeper {

    /** Time for which a result counts if the group's own time is not known. */
    private static final Duration DEFAULT_RESULT_TIME = Duration.ofSeconds(4);

    private final String mSelf;
    private final CoordinatorTable mCoordinators;
    private final Function<GroupId, BatchScheduler> mLocal;
    private final StagePeers mPeers;
    private final PieceCaller mCaller;
    private final UpstreamDirectory mDirectory;
    private final TimeSource mTime;
    private final Map<RankedGroup, DelayEstimate> mDelays = new HashMap<>();
    private final Map<GroupId, Tenure> mTenures = new HashMap<>();
    private final HeldResults mHeld = new HeldResults();

    /**
     * Makes a router.
     *
     * @param self address of this process among the coordinators
     * @param local schedulers of this process
     */
    public StageRouter(
            String self,
            CoordinatorTable coordinators,
            Function<GroupId, BatchScheduler> local,
            StagePeers peers,
            PieceCaller caller,
            UpstreamDirectory directory,
            TimeSource time) {
        mSelf = self;
        mCoordinators = coordinators;
        mLocal = local;
        mPeers = peers;
        mCaller = caller;
        mDirectory = directory;
        mTime = time;
    }

    /** Returns the queue of a group's pieces. */
    public PieceQueue queue(GroupId group) {
        return new RoutedQueue(group);
    }

    /** Tells new coordinators what this process holds. */
    public void onMembersChanged() {
        for (GroupId group : mHeld.groups()) {
            coordinator(group);
        }
    }

    @Override
    public void keep(GroupId group, MadePiece made, long bytes, long submittedAt) {
        Duration kept = mLocal.apply(group).resultTime().orElse(DEFAULT_RESULT_TIME);
        HeldResult result = new HeldResult(made, bytes, mTime.nanoTime() + kept.toNanos());
        Tenure tenure = coordinator(group);
        mHeld.add(group, result);
        if (submittedAt < tenure.since()) {
            report(tenure, group, List.of(result));
        }
    }

    @Override
    public void free(GroupId group, UpstreamId maker, Collection<String> handles) {
        mHeld.remove(group, handles);
        Tenure tenure = coordinator(group);
        if (tenure.isOf(mSelf)) {
            freeHere(maker, handles);
            return;
        }
        mPeers.free(tenure.address(), group, maker, handles, () -> freeHere(maker, handles));
    }

    /** Frees results at their upstream; those of one that has gone went with it. */
    public void freeHere(UpstreamId maker, Collection<String> handles) {
        mDirectory.find(maker).ifPresent(node -> mCaller.free(node, handles));
    }

    /** Counts results that another entry holds. */
    public void countHere(Collection<HeldResult> results) {
        for (HeldResult result : results) {
            mDirectory
                    .find(result.made().maker())
                    .ifPresent(
                            node ->
                                    node.results()
                                            .hold(
                                                    result.made().handle(),
                                                    result.bytes(),
                                                    result.untilNanos()));
        }
    }

    /** Returns who schedules a group now, and hands over to it if it was another before. */
    private Tenure coordinator(GroupId group) {
        String address = mCoordinators.coordinator(group).orElse(mSelf);
        Tenure before = mTenures.get(group);
        if (before != null && before.isOf(address)) {
            return before;
        }
        long now = mTime.nanoTime();
        Tenure tenure = new Tenure(address, before == null ? Long.MIN_VALUE : now);
        mTenures.put(group, tenure);
        report(tenure, group, mHeld.of(group, now));
        return tenure;
    }

    private void report(Tenure tenure, GroupId group, List<HeldResult> results) {
        if (results.isEmpty()) {
            return;
        }
        if (tenure.isOf(mSelf)) {
            countHere(results);
        } else {
            mPeers.report(tenure.address(), group, results);
        }
    }

    private DelayEstimate delay(GroupId group, int priority) {
        return mDelays.computeIfAbsent(
                new RankedGroup(group, priority), key -> new DelayEstimate(mTime));
    }

    /** Requests of different rank wait for different times. */
    private record RankedGroup(GroupId group, int priority) {}

    /**
     * The time of one coordinator.
     *
     * @param since monotonic time in nanoseconds from which this process sends pieces to it
     */
    private record Tenure(String address, long since) {

        boolean isOf(String other) {
            return address.equals(other);
        }
    }

    /** The queue of one group, wherever its pieces are scheduled. */
    private final class RoutedQueue implements PieceQueue {

        private final GroupId mGroup;

        RoutedQueue(GroupId group) {
            mGroup = group;
        }

        @Override
        public void submit(List<PendingPiece> pieces) {
            Tenure tenure = coordinator(mGroup);
            if (tenure.isOf(mSelf)) {
                mLocal.apply(mGroup).submit(pieces);
                return;
            }
            mPeers.make(
                    tenure.address(),
                    mGroup,
                    pieces,
                    () -> {
                        mCoordinators.avoid(tenure.address());
                        submit(pieces);
                    });
        }

        @Override
        public long leastTime(int pieces) {
            return mLocal.apply(mGroup).leastTime(pieces);
        }

        @Override
        public long expectedTime(int pieces, int priority) {
            return delay(mGroup, priority).expected(leastTime(pieces));
        }

        @Override
        public void onStageDone(long nanos, int priority) {
            delay(mGroup, priority).observe(nanos);
        }
    }
}
