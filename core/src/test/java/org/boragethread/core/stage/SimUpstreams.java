package org.boragethread.core.stage;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.core.upstream.UpstreamEntries;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.BatchLimits;
import org.boragethread.model.upstream.GroupId;

/** Simulated upstreams that execute one call at a time and keep results until they are freed. */
final class SimUpstreams implements BatchClient, BatchGroup {

    static final String GROUP = "pieces";

    private final ManualTimeSource mTime;
    private final BatchLimits mLimits;
    private boolean mLimitsKnown = true;
    private final UpstreamDirectory mDirectory;
    private final Map<UpstreamNode, Long> mBusyUntil = new HashMap<>();
    private final Map<UpstreamNode, Map<String, Long>> mHeld = new HashMap<>();
    private final List<List<PieceWork>> mCalls = new ArrayList<>();
    private final Set<String> mFailing = new HashSet<>();
    private boolean mRejecting;
    private int mNextHandle;
    private int mOutOfMemory;
    private Duration mLastTimeout = Duration.ZERO;

    /** Creates one upstream in each of the given data centres. */
    SimUpstreams(ManualTimeSource time, BatchLimits limits, String... dataCentres) {
        mTime = time;
        mLimits = limits;
        mDirectory = new UpstreamDirectory(time);
        for (int i = 0; i < dataCentres.length; i++) {
            mDirectory.put(UpstreamEntries.of("maker-" + i, GROUP, dataCentres[i]));
        }
    }

    List<List<PieceWork>> calls() {
        return mCalls;
    }

    /** Returns the number of pieces that were rejected because the memory was full. */
    int outOfMemoryCount() {
        return mOutOfMemory;
    }

    /** Returns the time within which the response to the latest call must arrive. */
    Duration lastTimeout() {
        return mLastTimeout;
    }

    UpstreamDirectory directory() {
        return mDirectory;
    }

    /** Sets whether all upstreams reject every call. */
    void setRejecting(boolean reject) {
        mRejecting = reject;
    }

    /** Removes the limits of the group from its configuration. */
    void removeLimits() {
        mLimitsKnown = false;
    }

    /** Makes all calls to an upstream fail with a lost connection. */
    void failCalls(String id) {
        mFailing.add(id);
    }

    /** Removes the scheduler's knowledge of the results that are held, as after a restart. */
    void forgetResults() {
        mHeld.forEach((node, held) -> node.resultMemory().remove(List.copyOf(held.keySet())));
    }

    /** Returns the number of results that are held. */
    int heldCount() {
        return mHeld.values().stream().mapToInt(Map::size).sum();
    }

    @Override
    public void execute(
            UpstreamNode upstream,
            List<PieceWork> pieces,
            Duration timeout,
            Consumer<Either<BatchFailure, BatchResponse>> callback) {
        mCalls.add(pieces);
        mLastTimeout = timeout;
        if (mFailing.contains(upstream.entry().id().value())) {
            BatchFailure failure = new BatchFailure(BatchFailure.Kind.BROKEN, "broken");
            mTime.schedule(Duration.ofMillis(5), () -> callback.accept(Either.left(failure)));
            return;
        }
        if (mRejecting) {
            BatchFailure full = new BatchFailure(BatchFailure.Kind.REJECTED, "full");
            mTime.schedule(Duration.ofMillis(2), () -> callback.accept(Either.left(full)));
            return;
        }
        long now = mTime.nanoTime();
        long start = Math.max(now, mBusyUntil.getOrDefault(upstream, now));
        long end = start + mLimits.expectedTime(pieces.size()).toNanos();
        mBusyUntil.put(upstream, end);
        List<PieceResult> results = new ArrayList<>();
        for (PieceWork piece : pieces) {
            results.add(store(upstream, piece));
        }
        mTime.schedule(
                Duration.ofNanos(end - now),
                () -> callback.accept(Either.right(new BatchResponse(results, Optional.of(0)))));
    }

    private PieceResult store(UpstreamNode upstream, PieceWork piece) {
        Map<String, Long> held = mHeld.computeIfAbsent(upstream, node -> new HashMap<>());
        long usedBytes = held.values().stream().mapToLong(Long::longValue).sum();
        if (usedBytes + piece.resultBytes() > mLimits.resultBytes()) {
            mOutOfMemory++;
            return PieceResult.failed(PieceResult.Failure.OUT_OF_MEMORY);
        }
        String handle = "h" + mNextHandle++;
        held.put(handle, piece.resultBytes());
        return PieceResult.completed(handle);
    }

    @Override
    public void free(UpstreamNode upstream, Collection<String> handles) {
        upstream.resultMemory().remove(handles);
        mHeld.getOrDefault(upstream, Map.of()).keySet().removeAll(handles);
    }

    @Override
    public String name() {
        return GROUP;
    }

    @Override
    public Optional<BatchLimits> limits() {
        return mLimitsKnown ? Optional.of(mLimits) : Optional.empty();
    }

    @Override
    public List<UpstreamNode> upstreams() {
        List<UpstreamNode> usable = new ArrayList<>();
        for (UpstreamNode node : mDirectory.of(new GroupId(GROUP))) {
            if (!node.isAvoided(mTime.nanoTime())) {
                usable.add(node);
            }
        }
        return usable;
    }
}
