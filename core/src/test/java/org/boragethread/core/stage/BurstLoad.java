package org.boragethread.core.stage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.boragethread.core.callback.Supervisors;
import org.boragethread.core.retry.SharedRetryBudget;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.model.routing.BatchLimits;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Simulated burst of requests with large results beside requests with small ones, on one group of
 * four upstreams. Callers cancel after a gap without an event.
 */
final class BurstLoad {

    private static final Duration RESPONSE_TIME = Duration.ofMillis(300);
    private static final Duration DEADLINE = Duration.ofSeconds(10);
    private static final Duration RESULTS_HELD = Duration.ofMillis(700);
    private static final double USUAL_RATE = 18;
    private static final double BURST_FACTOR = 2.4;
    private static final double STAGED_SHARE = 0.7;
    private static final int LARGE_RESULT = 3_000_000;
    private static final int SMALL_RESULT = 8_000;
    private static final int BURST_START_MILLIS = 3000;
    private static final int BURST_END_MILLIS = 9000;
    private static final String[] DATA_CENTRES = {"north", "north", "south", "west"};

    private static final BatchLimits LIMITS =
            new BatchLimits(
                    1,
                    2,
                    8,
                    Duration.ofMillis(150),
                    Duration.ofMillis(16),
                    40_000_000,
                    Duration.ofSeconds(4));

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final UpstreamDirectory mDirectory = new UpstreamDirectory(mTime);
    private final Map<String, Outcomes> mOutcomes;
    private final Random mRandom;
    private final RandomUpstreams mUpstreams;
    private final BatchScheduler mScheduler;
    private final boolean mGapIsDeadline;
    private int mRequests;

    /** Kinds of requests: priority, target latency, gap after which the caller gives up. */
    enum Kind {
        LARGE(0, USUAL_RATE * STAGED_SHARE, 1500, 6000),
        SMALL(1, 10, 2000, 8000),
        SMALLEST(2, 14, 2500, 8000);

        private final int mPriority;
        private final double mUsualRate;
        private final Duration mTarget;
        private final Duration mGapLimit;

        Kind(int priority, double usualRate, int targetMillis, int gapMillis) {
            mPriority = priority;
            mUsualRate = usualRate;
            mTarget = Duration.ofMillis(targetMillis);
            mGapLimit = Duration.ofMillis(gapMillis);
        }

        /** Returns the requests per second during the burst. */
        double burstRate() {
            return this == LARGE ? mUsualRate * BURST_FACTOR : mUsualRate;
        }

        /** Returns the key of the outcomes of requests that arrived during the burst. */
        String duringBurst() {
            return this + " during the burst";
        }
    }

    /** Returns the number of full calls per second that all upstreams execute. */
    static double callsPerSecond() {
        double callNanos = LIMITS.expectedTime(LIMITS.batch()).toNanos();
        return DATA_CENTRES.length * LIMITS.slots() * 1e9 / callNanos;
    }

    /** Outcomes of requests that have something in common. */
    static final class Outcomes {

        private int mStarted;
        private int mInTime;
        private int mLate;
        private int mRefused;
        private int mCancelled;
        private long mLongestWaitMillis;
        private long mRefusedWaitMillis;

        double servedShare() {
            return (mInTime + mLate) / (double) mStarted;
        }

        double inTimeShare() {
            return mInTime / (double) mStarted;
        }

        int cancelled() {
            return mCancelled;
        }

        @Override
        public String toString() {
            return ("started %d in time %.3f late %.3f refused %.3f cancelled %.3f"
                            + " longest %d ms refused after %d ms")
                    .formatted(
                            mStarted,
                            inTimeShare(),
                            mLate / (double) mStarted,
                            mRefused / (double) mStarted,
                            mCancelled / (double) mStarted,
                            mLongestWaitMillis,
                            mRefusedWaitMillis / Math.max(1, mRefused));
        }
    }

    /**
     * Creates the load.
     *
     * @param gapIsDeadline whether the scheduler knows when callers give up
     * @param outcomes where outcomes are counted, by kind, size, team and time of arrival
     */
    BurstLoad(
            StagePolicy policy, boolean gapIsDeadline, long seed, Map<String, Outcomes> outcomes) {
        mGapIsDeadline = gapIsDeadline;
        mOutcomes = outcomes;
        mRandom = new Random(seed);
        Random upstreamRandom = new Random(seed + 1000);
        mUpstreams =
                new RandomUpstreams(
                        "encoders",
                        mTime,
                        LIMITS,
                        mDirectory,
                        upstreamRandom,
                        Duration.ZERO,
                        DATA_CENTRES);
        SharedRetryBudget budget =
                new SharedRetryBudget(mTime, 0.2, Duration.ofSeconds(10), () -> 56);
        mScheduler =
                new BatchScheduler(
                        mUpstreams,
                        mUpstreams,
                        budget,
                        mTime,
                        mTime,
                        Supervisors.rethrowing(),
                        policy);
    }

    /** Runs the load: the burst lasts from the third to the ninth second of twenty. */
    void run() {
        scheduleArrivals(Kind.LARGE, Kind.LARGE.mUsualRate, 0, 20_000);
        double more = Kind.LARGE.burstRate() - Kind.LARGE.mUsualRate;
        scheduleArrivals(Kind.LARGE, more, BURST_START_MILLIS, BURST_END_MILLIS);
        scheduleArrivals(Kind.SMALL, Kind.SMALL.mUsualRate, 0, 20_000);
        scheduleArrivals(Kind.SMALLEST, Kind.SMALLEST.mUsualRate, 0, 20_000);
        mTime.advance(Duration.ofSeconds(35));
    }

    private void scheduleArrivals(Kind kind, double perSecond, double from, double to) {
        double at = from;
        while (true) {
            at -= Math.log(1 - mRandom.nextDouble()) / perSecond * 1000;
            if (at >= to) {
                return;
            }
            mTime.schedule(Duration.ofMillis((long) at), () -> new Request(kind).start());
        }
    }

    private int pieces(Kind kind) {
        if (kind != Kind.LARGE) {
            return 1;
        }
        double sigma = 0.7;
        double pieces = 2.5 * Math.exp(sigma * mRandom.nextGaussian() - sigma * sigma / 2);
        return (int) Math.max(1, Math.min(10, Math.round(pieces)));
    }

    static Map<String, Outcomes> newOutcomes() {
        return new TreeMap<>();
    }

    /** One request, from its arrival to the first event of its response. */
    private final class Request implements PieceListener {

        private final Kind mKind;
        private final int mSize;
        private final String mTeam = mRandom.nextDouble() < 0.8 ? "team-large" : "team-small";
        private final long mArrivedAt = mTime.nanoTime();
        private final Map<UpstreamId, List<String>> mHandles = new HashMap<>();
        private final List<PendingPiece> mPieces = new ArrayList<>();
        private int mIncomplete;
        private boolean mEnded;

        Request(Kind kind) {
            mKind = kind;
            mSize = pieces(kind);
            mIncomplete = mSize;
        }

        void start() {
            count(outcomes -> outcomes.mStarted++);
            long response = RESPONSE_TIME.toNanos();
            long deadline = mGapIsDeadline ? mKind.mGapLimit.toNanos() : DEADLINE.toNanos();
            PieceUrgency urgency =
                    new PieceUrgency(
                            mKind.mPriority,
                            mArrivedAt + mKind.mTarget.toNanos() - response,
                            false,
                            false,
                            mTeam,
                            false);
            for (int number = 0; number < mSize; number++) {
                PieceWork work =
                        new PieceWork(
                                "r" + mRequests,
                                0,
                                number,
                                mArrivedAt + deadline - response,
                                "key",
                                mKind == Kind.LARGE ? LARGE_RESULT : SMALL_RESULT,
                                Optional.empty());
                mPieces.add(new PendingPiece(work, urgency, Optional.empty(), this, mArrivedAt));
            }
            mRequests++;
            mTime.schedule(mKind.mGapLimit, this::onGapLimit);
            mScheduler.submit(mPieces);
        }

        private void count(Consumer<Outcomes> change) {
            String size = mSize < 3 ? "1 to 2" : mSize < 6 ? "3 to 5" : "6 to 10";
            List<String> keys = new ArrayList<>(List.of(mKind.name(), mKind + " of " + mTeam));
            if (mKind == Kind.LARGE) {
                keys.add(mKind + " with " + size + " pieces");
            }
            long arrivedMillis = mArrivedAt / 1_000_000;
            if (arrivedMillis >= BURST_START_MILLIS && arrivedMillis < BURST_END_MILLIS) {
                keys.add(mKind.duringBurst());
            }
            for (String key : keys) {
                change.accept(mOutcomes.computeIfAbsent(key, k -> new Outcomes()));
            }
        }

        private void end(Consumer<Outcomes> change) {
            mEnded = true;
            long waited = (mTime.nanoTime() - mArrivedAt) / 1_000_000;
            count(
                    outcomes -> {
                        change.accept(outcomes);
                        outcomes.mLongestWaitMillis = Math.max(outcomes.mLongestWaitMillis, waited);
                    });
        }

        private void onGapLimit() {
            if (!mEnded) {
                mPieces.forEach(PendingPiece::cancel);
                free();
                end(outcomes -> outcomes.mCancelled++);
            }
        }

        @Override
        public void onCompleted(PieceWork work, ResultLocation location) {
            mHandles.computeIfAbsent(location.upstream(), upstream -> new ArrayList<>())
                    .add(location.handle());
            mIncomplete--;
            if (mEnded) {
                free();
            } else if (mIncomplete == 0) {
                mTime.schedule(RESPONSE_TIME, this::onFirstEvent);
                mTime.schedule(RESULTS_HELD, this::free);
            }
        }

        private void onFirstEvent() {
            if (mEnded) {
                return;
            }
            boolean inTime = mTime.nanoTime() - mArrivedAt <= mKind.mTarget.toNanos();
            end(outcomes -> outcomes.mInTime += inTime ? 1 : 0);
            count(outcomes -> outcomes.mLate += inTime ? 0 : 1);
        }

        private void free() {
            mHandles.forEach(
                    (upstream, handles) ->
                            mUpstreams.free(mDirectory.find(upstream).orElseThrow(), handles));
            mHandles.clear();
            mTime.schedule(Duration.ofMillis(9), mScheduler::dispatch);
        }

        @Override
        public void onFailed(PieceWork work, StageFailure failure) {
            if (!mEnded) {
                mPieces.forEach(PendingPiece::cancel);
                free();
                end(outcomes -> outcomes.mRefused++);
                long waited = (mTime.nanoTime() - mArrivedAt) / 1_000_000;
                count(outcomes -> outcomes.mRefusedWaitMillis += waited);
            }
        }
    }
}
