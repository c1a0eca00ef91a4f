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

/** Upstreams in memory that work on one call after another and keep results until freed. */
final class SimUpstreams implements PieceCaller, BatchGroup {

    static final String GROUP = "pieces";

    private final ManualTimeSource mTime;
    private final BatchLimits mLimits;
    private final UpstreamDirectory mDirectory;
    private final Map<UpstreamNode, Long> mBusyUntil = new HashMap<>();
    private final Map<UpstreamNode, Map<String, Long>> mHeld = new HashMap<>();
    private final List<List<PieceWork>> mCalls = new ArrayList<>();
    private final Set<String> mFailing = new HashSet<>();
    private boolean mRejecting;
    private int mHandles;
    private int mWithoutRoom;

    SimUpstreams(ManualTimeSource time, BatchLimits limits, String... places) {
        mTime = time;
        mLimits = limits;
        mDirectory = new UpstreamDirectory(time);
        for (int i = 0; i < places.length; i++) {
            mDirectory.put(UpstreamEntries.of("maker-" + i, GROUP, places[i]));
        }
    }

    List<List<PieceWork>> calls() {
        return mCalls;
    }

    int withoutRoom() {
        return mWithoutRoom;
    }

    UpstreamDirectory directory() {
        return mDirectory;
    }

    /** Lets all upstreams reject every call, or work again. */
    void reject(boolean reject) {
        mRejecting = reject;
    }

    /** Lets all calls to an upstream break. */
    void fail(String id) {
        mFailing.add(id);
    }

    /** Lets the scheduler know nothing of the results that are held, as after a restart. */
    void forgetResults() {
        mHeld.forEach((node, held) -> node.results().release(List.copyOf(held.keySet())));
    }

    int held() {
        return mHeld.values().stream().mapToInt(Map::size).sum();
    }

    @Override
    public void make(
            UpstreamNode upstream,
            List<PieceWork> pieces,
            Duration timeout,
            Consumer<Either<BatchFailure, BatchAnswer>> receiver) {
        mCalls.add(pieces);
        if (mFailing.contains(upstream.entry().id().value())) {
            BatchFailure failure = new BatchFailure(BatchFailure.Kind.BROKEN, "broken");
            mTime.schedule(Duration.ofMillis(5), () -> receiver.accept(Either.left(failure)));
            return;
        }
        if (mRejecting) {
            BatchFailure full = new BatchFailure(BatchFailure.Kind.REJECTED, "full");
            mTime.schedule(Duration.ofMillis(2), () -> receiver.accept(Either.left(full)));
            return;
        }
        long now = mTime.nanoTime();
        long start = Math.max(now, mBusyUntil.getOrDefault(upstream, now));
        long end = start + mLimits.expectedTime(pieces.size()).toNanos();
        mBusyUntil.put(upstream, end);
        List<PieceResult> results = new ArrayList<>();
        for (PieceWork piece : pieces) {
            results.add(place(upstream, piece));
        }
        mTime.schedule(
                Duration.ofNanos(end - now),
                () -> receiver.accept(Either.right(new BatchAnswer(results, Optional.of(0)))));
    }

    private PieceResult place(UpstreamNode upstream, PieceWork piece) {
        Map<String, Long> held = mHeld.computeIfAbsent(upstream, node -> new HashMap<>());
        long bytes = held.values().stream().mapToLong(Long::longValue).sum();
        if (bytes + piece.resultBytes() > mLimits.resultBytes()) {
            mWithoutRoom++;
            return PieceResult.failed(PieceResult.Failure.OUT_OF_MEMORY);
        }
        String handle = "h" + mHandles++;
        held.put(handle, piece.resultBytes());
        return PieceResult.made(handle);
    }

    @Override
    public void free(UpstreamNode upstream, Collection<String> handles) {
        upstream.results().release(handles);
        mHeld.getOrDefault(upstream, Map.of()).keySet().removeAll(handles);
    }

    @Override
    public String name() {
        return GROUP;
    }

    @Override
    public Optional<BatchLimits> limits() {
        return Optional.of(mLimits);
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
