package org.boragethread.entry.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.boragethread.core.stage.BatchScheduler;
import org.boragethread.core.stage.CoordinatorTable;
import org.boragethread.core.stage.DelayEstimate;
import org.boragethread.core.stage.PendingPiece;
import org.boragethread.core.stage.PieceCaller;
import org.boragethread.core.stage.PieceQueue;
import org.boragethread.core.stage.ResultFreer;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Sends the pieces of a group to the entry that schedules them, so that the pieces of all entries
 * share calls. This process schedules them itself if it is that entry, or if that entry does not
 * answer.
 */
final class StageRouter implements ResultFreer {

    private final String mSelf;
    private final CoordinatorTable mCoordinators;
    private final Function<GroupId, BatchScheduler> mLocal;
    private final PeerClient mPeers;
    private final PieceCaller mCaller;
    private final UpstreamDirectory mDirectory;
    private final TimeSource mTime;
    private final Map<RankedGroup, DelayEstimate> mDelays = new HashMap<>();

    StageRouter(
            String self,
            CoordinatorTable coordinators,
            Function<GroupId, BatchScheduler> local,
            PeerClient peers,
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
    PieceQueue queue(GroupId group) {
        return new RoutedQueue(group);
    }

    private DelayEstimate delay(GroupId group, int priority) {
        return mDelays.computeIfAbsent(
                new RankedGroup(group, priority), key -> new DelayEstimate(mTime));
    }

    @Override
    public void free(GroupId group, UpstreamId maker, Collection<String> handles) {
        Optional<String> remote = remoteCoordinator(group);
        if (remote.isPresent()) {
            mPeers.free(remote.get(), group, maker, handles, () -> freeHere(maker, handles));
            return;
        }
        freeHere(maker, handles);
    }

    /** Frees results at their upstream; those of one that has gone went with it. */
    void freeHere(UpstreamId maker, Collection<String> handles) {
        mDirectory.find(maker).ifPresent(node -> mCaller.free(node, handles));
    }

    private Optional<String> remoteCoordinator(GroupId group) {
        return mCoordinators.coordinator(group).filter(address -> !address.equals(mSelf));
    }

    /** Requests of different rank wait for different times. */
    private record RankedGroup(GroupId group, int priority) {}

    /** The queue of one group, wherever its pieces are scheduled. */
    private final class RoutedQueue implements PieceQueue {

        private final GroupId mGroup;

        RoutedQueue(GroupId group) {
            mGroup = group;
        }

        @Override
        public void submit(List<PendingPiece> pieces) {
            Optional<String> remote = remoteCoordinator(mGroup);
            if (remote.isEmpty()) {
                mLocal.apply(mGroup).submit(pieces);
                return;
            }
            mPeers.make(
                    remote.get(),
                    mGroup,
                    pieces,
                    () -> {
                        mCoordinators.avoid(remote.get());
                        mLocal.apply(mGroup).submit(pieces);
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
