package org.boragethread.core.stage;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.boragethread.core.retry.SharedRetryBudget;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.routing.BatchLimits;
import org.boragethread.model.routing.RouteStage;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Load on three groups of upstreams whose results scarcely fit their memory: long requests need an
 * intake, then six accounts, then about sixteen notices; short ones the intake only.
 */
final class ChainLoad {

    private static final GroupId INTAKE = new GroupId("intake");
    private static final GroupId ACCOUNTS = new GroupId("accounts");
    private static final GroupId NOTICES = new GroupId("notices");

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final Random mRandom;
    private final UpstreamDirectory mDirectory = new UpstreamDirectory(mTime);
    private final CoordinatorTable mCoordinators = new CoordinatorTable(mTime);
    private final Map<GroupId, SimMakers> mMakers = new HashMap<>();
    private final Map<GroupId, BatchScheduler> mSchedulers = new HashMap<>();
    private final StageRouter mRouter;
    private final Map<Kind, Tally> mTallies = new HashMap<>();
    private int mRequests;

    /** Kinds of requests, with what one is worth in time and late. */
    enum Kind {
        DRAFT(1, 2200, 8000, 2.9, 0.43),
        SUMMARY(0, 1900, 6000, 2.5, 0.38),
        CAPTION(2, 1300, 8000, 0.37, 0.056);

        private final int mPriority;
        private final int mTargetMillis;
        private final int mDeadlineMillis;
        private final double mWorth;
        private final double mLateWorth;

        Kind(int priority, int target, int deadline, double worth, double lateWorth) {
            mPriority = priority;
            mTargetMillis = target;
            mDeadlineMillis = deadline;
            mWorth = worth;
            mLateWorth = lateWorth;
        }
    }

    /** Fates of the requests of one kind. */
    static final class Tally {

        private int mAsked;
        private int mInTime;
        private int mLate;
        private int mFailed;

        @Override
        public String toString() {
            return "asked %d in time %d late %d failed %d"
                    .formatted(mAsked, mInTime, mLate, mFailed);
        }
    }

    ChainLoad(long seed) {
        mRandom = new Random(seed);
        group(INTAKE, 6, 21.3, 27_000_000, Duration.ZERO, "north", "south", "west");
        String[] four = {"north", "south", "south", "west"};
        group(ACCOUNTS, 7, 18.3, 1_137_500, Duration.ZERO, four);
        group(NOTICES, 17, 7.5, 297_500, Duration.ofMillis(2), four);
        mRouter =
                new StageRouter(
                        "self",
                        mCoordinators,
                        mSchedulers::get,
                        new NoPeers(),
                        new AnyMaker(),
                        mDirectory,
                        mTime);
        for (Kind kind : Kind.values()) {
            mTallies.put(kind, new Tally());
        }
    }

    private void group(
            GroupId id, int batch, double pieceMillis, long bytes, Duration fetch, String... at) {
        BatchLimits limits =
                new BatchLimits(
                        1,
                        2,
                        batch,
                        Duration.ofMillis(150),
                        Duration.ofNanos((long) (pieceMillis * 1e6)),
                        bytes,
                        Duration.ofSeconds(4));
        SimMakers makers = new SimMakers(id.value(), mTime, limits, mDirectory, mRandom, fetch, at);
        mMakers.put(id, makers);
        SharedRetryBudget budget = new SharedRetryBudget(mTime, 0.2, 56, Duration.ofSeconds(10));
        mSchedulers.put(id, new BatchScheduler(makers, makers, budget, mTime, mTime));
    }

    /** Lets requests of one kind arrive at random for a while, from now on. */
    void arrive(Kind kind, double perSecond, Duration fromNow, Duration length) {
        double at = fromNow.toMillis();
        double end = at + length.toMillis();
        while (true) {
            at += -Math.log(1 - mRandom.nextDouble()) / perSecond * 1000;
            if (at >= end) {
                return;
            }
            mTime.schedule(Duration.ofMillis((long) at), () -> new Request(kind).start());
        }
    }

    void run(Duration duration) {
        mTime.advance(duration);
    }

    Tally tally(Kind kind) {
        return mTallies.get(kind);
    }

    /** Returns the worth that was earned, as a part of what was to be earned. */
    double earned() {
        double owed = 0;
        double earned = 0;
        for (Map.Entry<Kind, Tally> entry : mTallies.entrySet()) {
            Kind kind = entry.getKey();
            Tally tally = entry.getValue();
            owed += kind.mWorth * tally.mAsked;
            earned += kind.mWorth * tally.mInTime + kind.mLateWorth * tally.mLate;
        }
        return earned / owed;
    }

    String summary() {
        StringBuilder text = new StringBuilder("earned %.3f".formatted(earned()));
        mTallies.forEach((kind, tally) -> text.append("; ").append(kind).append(' ').append(tally));
        mMakers.forEach(
                (id, makers) ->
                        text.append(
                                "; %s busy %.2f without room %d"
                                        .formatted(id, makers.busyShare(), makers.withoutRoom())));
        return text.toString();
    }

    private int lognormal(double mean, double spread, int most) {
        double value = mean * Math.exp(spread * mRandom.nextGaussian() - spread * spread / 2);
        return (int) Math.max(1, Math.min(most, Math.round(value)));
    }

    /** One request from its arrival to its first event. */
    private final class Request implements StageListener {

        private final Kind mKind;
        private final long mArrived = mTime.nanoTime();
        private Optional<StageRun> mRun = Optional.empty();

        Request(Kind kind) {
            mKind = kind;
        }

        void start() {
            mTallies.get(mKind).mAsked++;
            List<RouteStage> stages = new ArrayList<>();
            boolean scans = mKind == Kind.CAPTION || mRandom.nextDouble() < 0.4;
            stages.add(new RouteStage(INTAKE, List.of(), 3_000_000));
            stages.add(new RouteStage(INTAKE, List.of(), 8_000));
            stages.add(new RouteStage(ACCOUNTS, List.of(1), 60_000));
            stages.add(new RouteStage(NOTICES, List.of(2), 6_000));
            boolean chain = mKind != Kind.CAPTION;
            int[] pieces = {
                scans ? lognormal(1.5, 0.6, 6) : 0,
                chain ? 1 : 0,
                chain ? 6 : 0,
                chain ? lognormal(16, 0.4, 40) : 0
            };
            String[] places = {"north", "south", "west"};
            StageRequest request =
                    new StageRequest(
                            "r" + mRequests++,
                            stages,
                            pieces,
                            "key",
                            mArrived + Duration.ofMillis(mKind.mDeadlineMillis - 250).toNanos(),
                            mArrived + Duration.ofMillis(mKind.mTargetMillis - 250).toNanos(),
                            mKind.mPriority,
                            Optional.of(new DataCentreId(places[mRandom.nextInt(3)])));
            StageRun run =
                    new StageRun(request, mRouter::queue, mRouter, this::placeOf, mTime, this);
            mRun = Optional.of(run);
            run.start();
        }

        private Optional<DataCentreId> placeOf(UpstreamId id) {
            return mDirectory.find(id).map(node -> node.entry().dataCentre());
        }

        @Override
        public void onStagesDone(List<String> handles) {
            double millis = 150 - 100 * Math.log(1 - mRandom.nextDouble());
            mTime.schedule(Duration.ofMillis((long) millis), this::onFirstEvent);
        }

        private void onFirstEvent() {
            mRun.ifPresent(StageRun::release);
            long took = (mTime.nanoTime() - mArrived) / 1_000_000;
            Tally tally = mTallies.get(mKind);
            if (took <= mKind.mTargetMillis) {
                tally.mInTime++;
            } else {
                tally.mLate++;
            }
        }

        @Override
        public void onStagesFailed(StageFailure failure) {
            mTallies.get(mKind).mFailed++;
        }
    }

    /** Frees results at whichever group made them. */
    private final class AnyMaker implements PieceCaller {

        @Override
        public void make(
                UpstreamNode upstream,
                List<PieceWork> pieces,
                Duration timeout,
                Consumer<Either<BatchFailure, BatchAnswer>> receiver) {
            throw new IllegalStateException("schedulers call their own group");
        }

        @Override
        public void free(UpstreamNode upstream, Collection<String> handles) {
            GroupId group = upstream.entry().group();
            mMakers.get(group).free(upstream, handles);
            mTime.schedule(Duration.ofMillis(9), () -> mSchedulers.get(group).dispatch());
        }
    }

    /** A deployment of one entry. */
    private static final class NoPeers implements StagePeers {

        @Override
        public void make(String peer, GroupId group, List<PendingPiece> pieces, Runnable orElse) {
            throw new IllegalStateException("there is no other entry");
        }

        @Override
        public void free(
                String peer,
                GroupId group,
                UpstreamId maker,
                Collection<String> handles,
                Runnable orElse) {
            throw new IllegalStateException("there is no other entry");
        }

        @Override
        public void report(String peer, GroupId group, Collection<HeldResult> results) {
            throw new IllegalStateException("there is no other entry");
        }
    }
}
