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
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.BatchLimits;
import org.boragethread.model.upstream.GroupId;

/**
 * Simulated upstreams of one group that execute one call at a time, with random durations and sizes
 * of results. A result occupies memory from the start of its call.
 */
final class RandomUpstreams implements BatchClient, BatchGroup {

    /** Network round-trip time over a new connection. */
    private static final Duration ROUND_TRIP = Duration.ofMillis(8);

    private static final double TIME_SPREAD = 0.2;
    private static final double SIZE_SPREAD = 0.05;

    private final String mName;
    private final ManualTimeSource mTime;
    private final BatchLimits mLimits;
    private final UpstreamDirectory mDirectory;
    private final Random mRandom;
    private final Duration mFetchTime;
    private final Map<UpstreamNode, SimUpstream> mUpstreams = new HashMap<>();
    private final Map<String, DataCentreId> mDataCentres = new HashMap<>();
    private long mBusyNanos;
    private int mPieces;
    private int mOutOfMemory;
    private int mNextHandle;

    /**
     * Creates a group with one upstream in each of the given data centres.
     *
     * @param fetchTime time to fetch the inputs of one piece
     */
    RandomUpstreams(
            String name,
            ManualTimeSource time,
            BatchLimits limits,
            UpstreamDirectory directory,
            Random random,
            Duration fetchTime,
            String... dataCentres) {
        mName = name;
        mTime = time;
        mLimits = limits;
        mDirectory = directory;
        mRandom = random;
        mFetchTime = fetchTime;
        for (int i = 0; i < dataCentres.length; i++) {
            directory.put(UpstreamEntries.of(name + "-" + i, name, dataCentres[i]));
        }
    }

    /** Returns the number of pieces that were rejected because the memory was full. */
    int outOfMemoryCount() {
        return mOutOfMemory;
    }

    int pieces() {
        return mPieces;
    }

    /** Returns the data centre in which a result of this group was made, if it is of this group. */
    Optional<DataCentreId> dataCentreOf(String handle) {
        return Optional.ofNullable(mDataCentres.get(handle));
    }

    /** Returns the share of time since the start in which upstreams were busy. */
    double busyShare() {
        return mBusyNanos / (double) mTime.nanoTime() / upstreams().size();
    }

    @Override
    public void execute(
            UpstreamNode upstream,
            List<PieceWork> pieces,
            Duration timeout,
            Consumer<Either<BatchFailure, BatchResponse>> callback) {
        SimUpstream simulated =
                mUpstreams.computeIfAbsent(
                        upstream, node -> new SimUpstream(node.entry().dataCentre()));
        if (simulated.mQueue.size() >= mLimits.queue()) {
            BatchFailure full = new BatchFailure(BatchFailure.Kind.REJECTED, "full");
            mTime.schedule(ROUND_TRIP, () -> callback.accept(Either.left(full)));
            return;
        }
        simulated.mQueue.add(new Call(pieces, callback));
        if (!simulated.mBusy) {
            simulated.startNextCall();
        }
    }

    @Override
    public void free(UpstreamNode upstream, Collection<String> handles) {
        mTime.schedule(
                ROUND_TRIP,
                () -> {
                    upstream.resultMemory().remove(handles);
                    mUpstreams.get(upstream).mHeld.keySet().removeAll(handles);
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

    private double randomFactor(double spread) {
        return 1 + spread * (2 * mRandom.nextDouble() - 1);
    }

    private record Call(
            List<PieceWork> pieces, Consumer<Either<BatchFailure, BatchResponse>> callback) {}

    /** The state of one upstream. */
    private final class SimUpstream {

        private final Deque<Call> mQueue = new ArrayDeque<>();
        private final Map<String, Long> mHeld = new HashMap<>();
        private final DataCentreId mDataCentre;
        private boolean mBusy;

        SimUpstream(DataCentreId dataCentre) {
            mDataCentre = dataCentre;
        }

        void startNextCall() {
            Call call = mQueue.poll();
            mBusy = call != null;
            if (call == null) {
                return;
            }
            List<PieceResult> results = new ArrayList<>();
            Duration time = Duration.ZERO;
            for (PieceWork piece : call.pieces()) {
                PieceResult result = store(piece);
                results.add(result);
                if (result.handle().isPresent()) {
                    double nanos = mLimits.pieceTime().toNanos() * randomFactor(TIME_SPREAD);
                    time = time.plusNanos((long) nanos).plus(mFetchTime);
                }
            }
            Duration total = time.isZero() ? time : time.plus(mLimits.callTime());
            mBusyNanos += total.toNanos();
            mTime.schedule(total, this::startNextCall);
            mTime.schedule(
                    total.plus(ROUND_TRIP),
                    () -> {
                        int queued = mQueue.size();
                        call.callback()
                                .accept(
                                        Either.right(
                                                new BatchResponse(results, Optional.of(queued))));
                    });
        }

        private PieceResult store(PieceWork piece) {
            long bytes = (long) (piece.resultBytes() * randomFactor(SIZE_SPREAD));
            long usedBytes = mHeld.values().stream().mapToLong(Long::longValue).sum();
            if (usedBytes + bytes > mLimits.resultBytes()) {
                mOutOfMemory++;
                return PieceResult.failed(PieceResult.Failure.OUT_OF_MEMORY);
            }
            String handle = mName + mNextHandle++;
            mHeld.put(handle, bytes);
            mDataCentres.put(handle, mDataCentre);
            mPieces++;
            mTime.schedule(mLimits.resultTime(), () -> mHeld.remove(handle));
            return PieceResult.completed(handle);
        }
    }
}
