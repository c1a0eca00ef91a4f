package org.boragethread.core.stage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToLongBiFunction;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.RouteStage;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Runs the stages of one request in the order of their needs, and frees results as soon as nothing
 * needs them. Not safe for use by several threads.
 */
public final class StageRun implements PieceListener {

    /** Transfers of this size or more should not cross data centres, in bytes. */
    private static final long LARGE_TRANSFER_BYTES = 400_000;

    /** Inputs of this size or more are taken to occupy scarce memory, in bytes. */
    private static final long SCARCE_BYTES = 100_000;

    private final StageRequest mRequest;
    private final Function<GroupId, ? extends PieceQueue> mQueues;
    private final ResultKeeper mKeeper;
    private final Function<UpstreamId, Optional<DataCentreId>> mPlaces;
    private final TimeSource mTime;
    private final StageListener mListener;
    private final MadePiece[][] mMade;
    private final int[] mMissing;
    private final boolean[] mStarted;
    private final long[] mStartedAt;
    private final boolean[] mFreed;
    private final List<PendingPiece> mPending = new ArrayList<>();
    private boolean mEnded;

    /**
     * Makes a run that has not started.
     *
     * @param queues where the pieces of each group are made
     * @param places data centre of each upstream that is known
     */
    public StageRun(
            StageRequest request,
            Function<GroupId, ? extends PieceQueue> queues,
            ResultKeeper keeper,
            Function<UpstreamId, Optional<DataCentreId>> places,
            TimeSource time,
            StageListener listener) {
        mRequest = request;
        mQueues = queues;
        mKeeper = keeper;
        mPlaces = places;
        mTime = time;
        mListener = listener;
        int stages = request.stages().size();
        mMade = new MadePiece[stages][];
        mMissing = new int[stages];
        mStarted = new boolean[stages];
        mStartedAt = new long[stages];
        mFreed = new boolean[stages];
        for (int i = 0; i < stages; i++) {
            mMade[i] = new MadePiece[request.pieces()[i]];
            mMissing[i] = request.pieces()[i];
        }
    }

    /** Begins with the stages that need no results. */
    public void start() {
        advance();
    }

    /** Gives the stages up, and frees what was made. */
    public void cancel() {
        mEnded = true;
        mPending.forEach(PendingPiece::cancel);
        release();
    }

    /** Frees all results that are still held. */
    public void release() {
        for (int stage = 0; stage < mMade.length; stage++) {
            free(stage);
        }
    }

    @Override
    public void onMade(PieceWork work, MadePiece made) {
        if (mEnded || mMade[work.stage()][work.number()] != null) {
            mKeeper.free(groupOf(work.stage()), made.maker(), List.of(made.handle()));
            return;
        }
        mKeeper.keep(groupOf(work.stage()), made, work.resultBytes(), mStartedAt[work.stage()]);
        mMade[work.stage()][work.number()] = made;
        mMissing[work.stage()]--;
        if (mMissing[work.stage()] == 0) {
            observe(work.stage());
            freeNeeded(work.stage());
            advance();
        }
    }

    @Override
    public void onFailed(PieceWork work, StageFailure failure) {
        if (mEnded) {
            return;
        }
        cancel();
        mListener.onStagesFailed(failure);
    }

    /** A request that is late waits behind all others and says nothing of their delay. */
    private void observe(int stage) {
        long now = mTime.nanoTime();
        if (now < mRequest.targetNanos()) {
            mQueues.apply(groupOf(stage)).onStageDone(now - mStartedAt[stage], mRequest.priority());
        }
    }

    private void advance() {
        boolean done = true;
        for (int stage = 0; stage < mMade.length && !mEnded; stage++) {
            done &= mMissing[stage] == 0;
            if (!mStarted[stage] && mMissing[stage] > 0 && isReady(stage)) {
                mStarted[stage] = true;
                mStartedAt[stage] = mTime.nanoTime();
                submit(stage);
            }
        }
        if (done && !mEnded) {
            mEnded = true;
            mListener.onStagesDone(finalHandles());
        }
    }

    private boolean isReady(int stage) {
        for (int needed : mRequest.stages().get(stage).after()) {
            if (mMissing[needed] > 0) {
                return false;
            }
        }
        return true;
    }

    private void submit(int stage) {
        long after = timeAfter(stage, PieceQueue::leastTime);
        long expectedAfter =
                timeAfter(
                        stage, (queue, pieces) -> queue.expectedTime(pieces, mRequest.priority()));
        RouteStage definition = mRequest.stages().get(stage);
        Optional<DataCentreId> place = preferredPlace(stage);
        PieceUrgency urgency =
                new PieceUrgency(
                        mRequest.priority(),
                        mRequest.targetNanos() - expectedAfter,
                        holdsInputs(stage),
                        isFollowed(stage));
        List<PendingPiece> pieces = new ArrayList<>();
        for (int number = 0; number < mRequest.pieces()[stage]; number++) {
            PieceWork work =
                    new PieceWork(
                            mRequest.requestId(),
                            stage,
                            number,
                            mRequest.deadlineNanos() - after,
                            mRequest.key(),
                            definition.resultBytes(),
                            inputs(definition));
            pieces.add(new PendingPiece(work, urgency, place, this, mTime.nanoTime()));
        }
        mPending.addAll(pieces);
        mQueues.apply(definition.group()).submit(pieces);
    }

    /**
     * Returns where a stage should be made. Each of its pieces fetches all its inputs, so large
     * inputs decide first; large results decide next.
     */
    private Optional<DataCentreId> preferredPlace(int stage) {
        RouteStage definition = mRequest.stages().get(stage);
        long inputBytes = 0;
        Optional<DataCentreId> place = Optional.empty();
        for (int needed : definition.after()) {
            inputBytes += mRequest.stages().get(needed).resultBytes() * mMade[needed].length;
            place = place.or(() -> placeOf(needed));
        }
        if (inputBytes * mMade[stage].length >= LARGE_TRANSFER_BYTES) {
            return place;
        }
        boolean large = definition.resultBytes() >= LARGE_TRANSFER_BYTES;
        return large && !isFollowed(stage) ? mRequest.destination() : Optional.empty();
    }

    private boolean holdsInputs(int stage) {
        long bytes = 0;
        for (int needed : mRequest.stages().get(stage).after()) {
            bytes += mRequest.stages().get(needed).resultBytes() * mMade[needed].length;
        }
        return bytes >= SCARCE_BYTES;
    }

    private Optional<DataCentreId> placeOf(int stage) {
        return mMade[stage].length == 0 ? Optional.empty() : mPlaces.apply(mMade[stage][0].maker());
    }

    private GroupId groupOf(int stage) {
        return mRequest.stages().get(stage).group();
    }

    /** Returns the time that the stages after the given one need, in nanoseconds. */
    private long timeAfter(int stage, ToLongBiFunction<PieceQueue, Integer> time) {
        long longest = 0;
        for (int next = 0; next < mMade.length; next++) {
            RouteStage definition = mRequest.stages().get(next);
            if (mMade[next].length > 0 && definition.after().contains(stage)) {
                long own = time.applyAsLong(mQueues.apply(definition.group()), mMade[next].length);
                longest = Math.max(longest, own + timeAfter(next, time));
            }
        }
        return longest;
    }

    private Optional<List<String>> inputs(RouteStage definition) {
        if (definition.after().isEmpty()) {
            return Optional.empty();
        }
        List<String> handles = new ArrayList<>();
        for (int needed : definition.after()) {
            addHandles(needed, handles);
        }
        return Optional.of(handles);
    }

    private List<String> finalHandles() {
        List<String> handles = new ArrayList<>();
        for (int stage = 0; stage < mMade.length; stage++) {
            if (!isFollowed(stage)) {
                addHandles(stage, handles);
            }
        }
        return handles;
    }

    private void addHandles(int stage, List<String> handles) {
        for (MadePiece piece : mMade[stage]) {
            handles.add(piece.handle());
        }
    }

    private boolean isFollowed(int stage) {
        return RouteStage.isFollowed(mRequest.stages(), mRequest.pieces(), stage);
    }

    /** Frees the results that only the given stage and other finished stages needed. */
    private void freeNeeded(int stage) {
        for (int needed : mRequest.stages().get(stage).after()) {
            boolean over = true;
            for (int other = 0; other < mMade.length; other++) {
                boolean needs = mRequest.stages().get(other).after().contains(needed);
                over &= !needs || mMissing[other] == 0;
            }
            if (over) {
                free(needed);
            }
        }
    }

    private void free(int stage) {
        if (mFreed[stage]) {
            return;
        }
        mFreed[stage] = true;
        Map<UpstreamId, List<String>> byMaker = new HashMap<>();
        for (MadePiece piece : mMade[stage]) {
            if (piece != null) {
                byMaker.computeIfAbsent(piece.maker(), maker -> new ArrayList<>())
                        .add(piece.handle());
            }
        }
        byMaker.forEach((maker, handles) -> mKeeper.free(groupOf(stage), maker, handles));
    }
}
