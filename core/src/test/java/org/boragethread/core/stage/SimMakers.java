package org.boragethread.core.stage;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.core.upstream.UpstreamEntries;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;
import org.boragethread.model.upstream.GroupId;

/**
 * Upstreams of one group that make pieces one call after another, with scattered times and sizes. A
 * result occupies memory from the turn of its call.
 */
final class SimMakers implements PieceCaller, BatchGroup {

    /** Time on the way, both ways together, over a new connection. */
    private static final Duration WAY = Duration.ofMillis(8);

    private static final double TIME_SPREAD = 0.2;
    private static final double SIZE_SPREAD = 0.05;

    private final String mName;
    private final ManualTimeSource mTime;
    private final BatchLimits mLimits;
    private final UpstreamDirectory mDirectory;
    private final Random mRandom;
    private final Duration mFetchTime;
    private final Map<UpstreamNode, Maker> mMakers = new HashMap<>();
    private long mBusyNanos;
    private int mPieces;
    private int mWithoutRoom;
    private int mHandles;

    /**
     * Makes a group.
     *
     * @param fetchTime time to fetch the inputs of one piece
     */
    SimMakers(
            String name,
            ManualTimeSource time,
            BatchLimits limits,
            UpstreamDirectory directory,
            Random random,
            Duration fetchTime,
            String... places) {
        mName = name;
        mTime = time;
        mLimits = limits;
        mDirectory = directory;
        mRandom = random;
        mFetchTime = fetchTime;
        for (int i = 0; i < places.length; i++) {
            directory.put(UpstreamEntries.of(name + "-" + i, name, places[i]));
        }
    }

    int withoutRoom() {
        return mWithoutRoom;
    }

    int pieces() {
        return mPieces;
    }

    /** Returns the part of the time since the start in which upstreams worked. */
    double busyShare() {
        return mBusyNanos / (double) mTime.nanoTime() / upstreams().size();
    }

    @Override
    public void make(
            UpstreamNode upstream,
            List<PieceWork> pieces,
            Duration timeout,
            Consumer<Either<BatchFailure, BatchAnswer>> receiver) {
        Maker maker = mMakers.computeIfAbsent(upstream, node -> new Maker());
        if (maker.mWaiting.size() >= mLimits.queue()) {
            BatchFailure full = new BatchFailure(BatchFailure.Kind.REJECTED, "full");
            mTime.schedule(WAY, () -> receiver.accept(Either.left(full)));
            return;
        }
        maker.mWaiting.add(new Call(pieces, receiver));
        if (!maker.mBusy) {
            maker.begin();
        }
    }

    @Override
    public void free(UpstreamNode upstream, Collection<String> handles) {
        mTime.schedule(
                WAY,
                () -> {
                    upstream.results().release(handles);
                    mMakers.get(upstream).mHeld.keySet().removeAll(handles);
                });
    }

    @Override
    public String name() {
        return mName;
    }

    @Override
    public Optional<BatchLimits> limits() {
        return Optional.of(mLimits);
    }

    @Override
    public List<UpstreamNode> upstreams() {
        return new ArrayList<>(mDirectory.of(new GroupId(mName)));
    }

    private double scatter(double spread) {
        return 1 + spread * (2 * mRandom.nextDouble() - 1);
    }

    private record Call(
            List<PieceWork> pieces, Consumer<Either<BatchFailure, BatchAnswer>> receiver) {}

    /** One upstream. */
    private final class Maker {

        private final Deque<Call> mWaiting = new ArrayDeque<>();
        private final Map<String, Long> mHeld = new HashMap<>();
        private boolean mBusy;

        void begin() {
            Call call = mWaiting.poll();
            mBusy = call != null;
            if (call == null) {
                return;
            }
            List<PieceResult> results = new ArrayList<>();
            Duration time = Duration.ZERO;
            for (PieceWork piece : call.pieces()) {
                PieceResult result = place(piece);
                results.add(result);
                if (result.handle().isPresent()) {
                    double nanos = mLimits.pieceTime().toNanos() * scatter(TIME_SPREAD);
                    time = time.plusNanos((long) nanos).plus(mFetchTime);
                }
            }
            Duration whole = time.isZero() ? time : time.plus(mLimits.callTime());
            mBusyNanos += whole.toNanos();
            mTime.schedule(whole, this::begin);
            mTime.schedule(
                    whole.plus(WAY),
                    () -> {
                        int waiting = mWaiting.size();
                        call.receiver()
                                .accept(
                                        Either.right(
                                                new BatchAnswer(results, Optional.of(waiting))));
                    });
        }

        private PieceResult place(PieceWork piece) {
            long bytes = (long) (piece.resultBytes() * scatter(SIZE_SPREAD));
            long held = mHeld.values().stream().mapToLong(Long::longValue).sum();
            if (held + bytes > mLimits.resultBytes()) {
                mWithoutRoom++;
                return PieceResult.failed(PieceResult.Failure.OUT_OF_MEMORY);
            }
            String handle = mName + mHandles++;
            mHeld.put(handle, bytes);
            mPieces++;
            mTime.schedule(mLimits.resultTime(), () -> mHeld.remove(handle));
            return PieceResult.made(handle);
        }
    }
}
