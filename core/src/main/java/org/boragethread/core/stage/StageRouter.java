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
 * Sends the pieces of a group to its coordinator, the entry that schedules them, so that pieces of
 * all entries share batch calls. If the coordinator does not respond, the next one is tried; as a
 * last resort this process schedules the pieces itself. A new coordinator is told which results
 * requests of this process hold, so that it does not count memory in use as free. Not thread-safe.
 */
public final class StageRouter implements ResultTracker {

    /** Lifetime of a result of a group whose limits are not known. */
    private static final Duration DEFAULT_RESULT_LIFETIME = Duration.ofSeconds(4);

    private final String mSelf;
    private final CoordinatorTable mCoordinators;
    private final Function<GroupId, BatchScheduler> mLocalSchedulers;
    private final CoordinatorClient mCoordinatorClient;
    private final BatchClient mBatchClient;
    private final UpstreamDirectory mDirectory;
    private final TimeSource mTime;
    private final Map<DelayKey, DelayEstimate> mDelays = new HashMap<>();
    private final Map<GroupId, CoordinatorTerm> mTerms = new HashMap<>();
    private final HeldResults mHeld = new HeldResults();

    /**
     * Creates a router.
     *
     * @param self address of this process, as in the coordinator table
     * @param localSchedulers schedulers of this process, by group
     */
    public StageRouter(
            String self,
            CoordinatorTable coordinators,
            Function<GroupId, BatchScheduler> localSchedulers,
            CoordinatorClient coordinatorClient,
            BatchClient batchClient,
            UpstreamDirectory directory,
            TimeSource time) {
        mSelf = self;
        mCoordinators = coordinators;
        mLocalSchedulers = localSchedulers;
        mCoordinatorClient = coordinatorClient;
        mBatchClient = batchClient;
        mDirectory = directory;
        mTime = time;
    }

    /** Returns the queue for pieces of a group. */
    public PieceQueue queue(GroupId group) {
        return new RoutedQueue(group);
    }

    /** Reports the results that this process holds to coordinators that have changed. */
    public void onMembersChanged() {
        for (GroupId group : mHeld.groups()) {
            currentTerm(group);
        }
    }

    @Override
    public void track(GroupId group, ResultLocation location, long bytes, long submittedAt) {
        Duration lifetime =
                mLocalSchedulers.apply(group).resultLifetime().orElse(DEFAULT_RESULT_LIFETIME);
        HeldResult result = new HeldResult(location, bytes, mTime.nanoTime() + lifetime.toNanos());
        CoordinatorTerm term = currentTerm(group);
        mHeld.add(group, result);
        if (submittedAt < term.since()) {
            report(term, group, List.of(result));
        }
    }

    @Override
    public void free(GroupId group, UpstreamId upstream, Collection<String> handles) {
        mHeld.remove(group, handles);
        CoordinatorTerm term = currentTerm(group);
        if (term.isOf(mSelf)) {
            freeAtUpstream(upstream, handles);
            return;
        }
        mCoordinatorClient.free(
                term.address(), group, upstream, handles, () -> freeAtUpstream(upstream, handles));
    }

    /**
     * Frees results at their upstream. If the upstream no longer exists, neither do its results.
     */
    public void freeAtUpstream(UpstreamId upstream, Collection<String> handles) {
        mDirectory.find(upstream).ifPresent(node -> mBatchClient.free(node, handles));
    }

    /** Adds results held by another entry to the memory in use of their upstreams. */
    public void addHeldResults(Collection<HeldResult> results) {
        for (HeldResult result : results) {
            mDirectory
                    .find(result.location().upstream())
                    .ifPresent(
                            node ->
                                    node.resultMemory()
                                            .add(
                                                    result.location().handle(),
                                                    result.bytes(),
                                                    result.expiresAtNanos()));
        }
    }

    /** Returns the current term of a group; reports held results if the coordinator has changed. */
    private CoordinatorTerm currentTerm(GroupId group) {
        String address = mCoordinators.coordinator(group).orElse(mSelf);
        CoordinatorTerm previous = mTerms.get(group);
        if (previous != null && previous.isOf(address)) {
            return previous;
        }
        long now = mTime.nanoTime();
        CoordinatorTerm term =
                new CoordinatorTerm(address, previous == null ? Long.MIN_VALUE : now);
        mTerms.put(group, term);
        report(term, group, mHeld.unexpired(group, now));
        return term;
    }

    private void report(CoordinatorTerm term, GroupId group, List<HeldResult> results) {
        if (results.isEmpty()) {
            return;
        }
        if (term.isOf(mSelf)) {
            addHeldResults(results);
        } else {
            mCoordinatorClient.reportHeldResults(term.address(), group, results);
        }
    }

    private DelayEstimate delay(GroupId group, int priority) {
        return mDelays.computeIfAbsent(
                new DelayKey(group, priority), key -> new DelayEstimate(mTime));
    }

    /** The queueing delay of a group differs between priorities. */
    private record DelayKey(GroupId group, int priority) {}

    /**
     * The time during which one entry coordinates a group.
     *
     * @param since monotonic time in nanoseconds at which this process began to use the coordinator
     */
    private record CoordinatorTerm(String address, long since) {

        boolean isOf(String other) {
            return address.equals(other);
        }
    }

    /** Forwards the pieces of one group to the current coordinator, local or remote. */
    private final class RoutedQueue implements PieceQueue {

        private final GroupId mGroup;

        RoutedQueue(GroupId group) {
            mGroup = group;
        }

        @Override
        public void submit(List<PendingPiece> pieces) {
            CoordinatorTerm term = currentTerm(mGroup);
            if (term.isOf(mSelf)) {
                mLocalSchedulers.apply(mGroup).submit(pieces);
                return;
            }
            mCoordinatorClient.submit(
                    term.address(),
                    mGroup,
                    pieces,
                    () -> {
                        mCoordinators.avoid(term.address());
                        submit(pieces);
                    });
        }

        @Override
        public long minTime(int pieces) {
            return mLocalSchedulers.apply(mGroup).minTime(pieces);
        }

        @Override
        public long expectedTime(int pieces, int priority) {
            return delay(mGroup, priority).estimate(minTime(pieces));
        }

        @Override
        public long resultMemory() {
            return mLocalSchedulers.apply(mGroup).resultMemory();
        }

        @Override
        public void onStageDone(long nanos, int priority) {
            delay(mGroup, priority).addSample(nanos);
        }
    }
}
