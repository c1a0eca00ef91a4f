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
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.boragethread.core.callback.Supervisors;
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
 * Simulated load on three groups of upstreams with little memory for results. Long requests need
 * one piece of the intake group, then six of the accounts group, then some of the notices group;
 * short ones need the intake group only.
 */
final class ChainLoad {

    private static final GroupId INTAKE = new GroupId("intake");
    private static final GroupId ACCOUNTS = new GroupId("accounts");
    private static final GroupId NOTICES = new GroupId("notices");

    private final ManualTimeSource mTime = new ManualTimeSource();
    private final Random mRandom;
    private final UpstreamDirectory mDirectory = new UpstreamDirectory(mTime);
    private final CoordinatorTable mCoordinators =
            new CoordinatorTable(mTime, new DataCentreId("north"));
    private final Map<GroupId, RandomUpstreams> mUpstreams = new HashMap<>();
    private final Map<GroupId, BatchScheduler> mSchedulers = new HashMap<>();
    private final StageRouter mRouter;
    private final Map<Kind, OutcomeCount> mCounts = new HashMap<>();
    private final Deployment mDeployment;
    private int mRequests;
    private int mLargeResults;
    private int mRemoteLargeResults;

    /** Groups of upstreams, and the time from the last stage to the first event. */
    enum Deployment {
        /** Calls take 280 ms if they are full, and responses are due after 1.3 s and more. */
        THREE_DATA_CENTRES(
                150,
                new GroupShape(6, 21.3, 27_000_000, "north", "south", "west"),
                new GroupShape(7, 18.3, 1_137_500, "north", "south", "south", "west"),
                new GroupShape(17, 7.5, 297_500, "north", "south", "south", "west"),
                150,
                100),
        /**
         * Calls take 370 ms if they are full, and the most urgent responses are due after 0.9 s.
         */
        FOUR_DATA_CENTRES(
                200,
                new GroupShape(14, 12, 32_000_000, "north", "north", "south", "west", "east"),
                new GroupShape(40, 4.3, 5_200_000, "north", "north", "south", "west", "east"),
                new GroupShape(66, 2.6, 870_000, "north", "north", "south", "west", "east"),
                60,
                40);

        private final int mCallMillis;
        private final GroupShape mIntake;
        private final GroupShape mAccounts;
        private final GroupShape mNotices;
        private final int mMinResponseMillis;
        private final int mMeanExtraResponseMillis;

        Deployment(
                int callMillis,
                GroupShape intake,
                GroupShape accounts,
                GroupShape notices,
                int minResponseMillis,
                int meanExtraResponseMillis) {
            mCallMillis = callMillis;
            mIntake = intake;
            mAccounts = accounts;
            mNotices = notices;
            mMinResponseMillis = minResponseMillis;
            mMeanExtraResponseMillis = meanExtraResponseMillis;
        }

        private int expectedResponseMillis() {
            return mMinResponseMillis + mMeanExtraResponseMillis;
        }
    }

    /** Size of one group: pieces in a call, their time, memory for results, upstreams. */
    private record GroupShape(int batch, double pieceMillis, long bytes, String... dataCentres) {}

    /**
     * Kinds of requests, with the value of one that is answered in time and of one that is late.
     */
    enum Kind {
        DRAFT(1, 2200, 8000, 2.9, 0.43),
        SUMMARY(0, 1900, 6000, 2.5, 0.38),
        CAPTION(2, 1300, 8000, 0.37, 0.056),
        /** Needs the intake group only, and is due soonest. */
        DIGEST(0, 910, 5000, 4.2, 0.63),
        NOTICE(1, 2300, 6000, 1, 0.15);

        private final int mPriority;
        private final int mTargetMillis;
        private final int mDeadlineMillis;
        private final double mValue;
        private final double mLateValue;

        Kind(int priority, int target, int deadline, double value, double lateValue) {
            mPriority = priority;
            mTargetMillis = target;
            mDeadlineMillis = deadline;
            mValue = value;
            mLateValue = lateValue;
        }
    }

    /** Number of requests of one kind, by outcome. */
    static final class OutcomeCount {

        private int mStarted;
        private int mInTime;
        private int mLate;
        private int mFailed;

        /** Returns the share of started requests that were answered in time. */
        double inTimeShare() {
            return mInTime / (double) mStarted;
        }

        @Override
        public String toString() {
            return "started %d in time %d late %d failed %d"
                    .formatted(mStarted, mInTime, mLate, mFailed);
        }
    }

    ChainLoad(Deployment deployment, Supplier<StagePolicy> policies, long seed) {
        mDeployment = deployment;
        mRandom = new Random(seed);
        addGroup(INTAKE, deployment.mIntake, Duration.ZERO, policies.get());
        addGroup(ACCOUNTS, deployment.mAccounts, Duration.ZERO, policies.get());
        addGroup(NOTICES, deployment.mNotices, Duration.ofMillis(2), policies.get());
        mRouter =
                new StageRouter(
                        "self",
                        mCoordinators,
                        mSchedulers::get,
                        new NoCoordinatorClient(),
                        new ResultFreeingClient(),
                        mDirectory,
                        mTime);
        for (Kind kind : Kind.values()) {
            mCounts.put(kind, new OutcomeCount());
        }
    }

    private void addGroup(GroupId id, GroupShape shape, Duration fetchTime, StagePolicy policy) {
        BatchLimits limits =
                new BatchLimits(
                        1,
                        2,
                        shape.batch(),
                        Duration.ofMillis(mDeployment.mCallMillis),
                        Duration.ofNanos((long) (shape.pieceMillis() * 1e6)),
                        shape.bytes(),
                        Duration.ofSeconds(4));
        RandomUpstreams upstreams =
                new RandomUpstreams(
                        id.value(),
                        mTime,
                        limits,
                        mDirectory,
                        mRandom,
                        fetchTime,
                        shape.dataCentres());
        mUpstreams.put(id, upstreams);
        SharedRetryBudget budget =
                new SharedRetryBudget(mTime, 0.2, Duration.ofSeconds(10), () -> 56);
        mSchedulers.put(
                id,
                new BatchScheduler(
                        upstreams,
                        upstreams,
                        budget,
                        mTime,
                        mTime,
                        Supervisors.rethrowing(),
                        policy));
    }

    /** Schedules requests of one kind that arrive at random (a Poisson process) for a while. */
    void scheduleArrivals(Kind kind, double perSecond, Duration delay, Duration length) {
        double at = delay.toMillis();
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

    OutcomeCount count(Kind kind) {
        return mCounts.get(kind);
    }

    /** Returns the achieved value as a share of the value if all requests were in time. */
    double achievedShare() {
        double possible = 0;
        double achieved = 0;
        for (Map.Entry<Kind, OutcomeCount> entry : mCounts.entrySet()) {
            Kind kind = entry.getKey();
            OutcomeCount count = entry.getValue();
            possible += kind.mValue * count.mStarted;
            achieved += kind.mValue * count.mInTime + kind.mLateValue * count.mLate;
        }
        return achieved / possible;
    }

    /** Returns the share of large results that were made in another data centre than needed. */
    double remoteShare() {
        return mRemoteLargeResults / (double) Math.max(1, mLargeResults);
    }

    String summary() {
        StringBuilder text =
                new StringBuilder(
                        "achieved share %.3f, remote %.3f"
                                .formatted(achievedShare(), remoteShare()));
        mCounts.forEach((kind, count) -> text.append("; ").append(kind).append(' ').append(count));
        mUpstreams.forEach(
                (id, upstreams) ->
                        text.append(
                                "; %s busy %.2f out of memory %d"
                                        .formatted(
                                                id,
                                                upstreams.busyShare(),
                                                upstreams.outOfMemoryCount())));
        return text.toString();
    }

    private int lognormal(double mean, double sigma, int max) {
        double value = mean * Math.exp(sigma * mRandom.nextGaussian() - sigma * sigma / 2);
        return (int) Math.max(1, Math.min(max, Math.round(value)));
    }

    /** One request, from its arrival to the first event of its response. */
    private final class Request implements StageListener {

        private final Kind mKind;
        private final long mArrivedAt = mTime.nanoTime();
        private Optional<StageRun> mRun = Optional.empty();
        private DataCentreId mDestination = new DataCentreId("unset");

        Request(Kind kind) {
            mKind = kind;
        }

        void start() {
            mCounts.get(mKind).mStarted++;
            List<RouteStage> stages = new ArrayList<>();
            boolean chain = mKind != Kind.CAPTION && mKind != Kind.DIGEST;
            double largeIntakeShare =
                    switch (mKind) {
                        case CAPTION -> 1;
                        case DIGEST -> 0.7;
                        case NOTICE -> 0;
                        default -> 0.4;
                    };
            boolean largeIntake = largeIntakeShare >= 1 || mRandom.nextDouble() < largeIntakeShare;
            stages.add(
                    new RouteStage(
                            INTAKE, List.of(), mKind == Kind.DIGEST ? 1_500_000 : 3_000_000));
            stages.add(new RouteStage(INTAKE, List.of(), 8_000));
            stages.add(new RouteStage(ACCOUNTS, List.of(1), 60_000));
            stages.add(new RouteStage(NOTICES, List.of(2), 6_000));
            double meanIntake = mKind == Kind.DIGEST ? 2.5 : 1.5;
            double meanNotices = mKind == Kind.NOTICE ? 10 : 16;
            int[] pieces = {
                largeIntake ? lognormal(meanIntake, 0.6, (int) (4 * meanIntake)) : 0,
                chain ? 1 : 0,
                chain ? 6 : 0,
                chain ? lognormal(meanNotices, 0.4, (int) (2.5 * meanNotices)) : 0
            };
            String[] dataCentres =
                    Stream.of(mDeployment.mIntake.dataCentres()).distinct().toArray(String[]::new);
            mDestination = new DataCentreId(dataCentres[mRandom.nextInt(dataCentres.length)]);
            int reserve = mDeployment.expectedResponseMillis();
            StageRequest request =
                    new StageRequest(
                            "r" + mRequests++,
                            stages,
                            pieces,
                            "key",
                            mArrivedAt
                                    + Duration.ofMillis(mKind.mDeadlineMillis - reserve).toNanos(),
                            mArrivedAt + Duration.ofMillis(mKind.mTargetMillis - reserve).toNanos(),
                            mKind.mPriority,
                            Optional.of(mDestination),
                            "",
                            false);
            StageRun run =
                    new StageRun(request, mRouter::queue, mRouter, this::dataCentreOf, mTime, this);
            mRun = Optional.of(run);
            run.start();
        }

        private Optional<DataCentreId> dataCentreOf(UpstreamId id) {
            return mDirectory.find(id).map(node -> node.entry().dataCentre());
        }

        @Override
        public void onStagesDone(List<String> handles) {
            countRemoteResults(handles);
            double millis =
                    mDeployment.mMinResponseMillis
                            - mDeployment.mMeanExtraResponseMillis
                                    * Math.log(1 - mRandom.nextDouble());
            mTime.schedule(Duration.ofMillis((long) millis), this::onFirstEvent);
        }

        private void countRemoteResults(List<String> handles) {
            for (String handle : handles) {
                mUpstreams
                        .get(INTAKE)
                        .dataCentreOf(handle)
                        .ifPresent(
                                dataCentre -> {
                                    mLargeResults++;
                                    mRemoteLargeResults += dataCentre.equals(mDestination) ? 0 : 1;
                                });
            }
        }

        private void onFirstEvent() {
            mRun.ifPresent(StageRun::freeResults);
            long millis = (mTime.nanoTime() - mArrivedAt) / 1_000_000;
            OutcomeCount count = mCounts.get(mKind);
            if (millis <= mKind.mTargetMillis) {
                count.mInTime++;
            } else {
                count.mLate++;
            }
        }

        @Override
        public void onStagesFailed(StageFailure failure) {
            mCounts.get(mKind).mFailed++;
        }
    }

    /** Frees results at the group that stores them. */
    private final class ResultFreeingClient implements BatchClient {

        @Override
        public void execute(
                UpstreamNode upstream,
                List<PieceWork> pieces,
                Duration timeout,
                Consumer<Either<BatchFailure, BatchResponse>> callback) {
            throw new IllegalStateException("schedulers call the upstreams of their own group");
        }

        @Override
        public void free(UpstreamNode upstream, Collection<String> handles) {
            GroupId group = upstream.entry().group();
            mUpstreams.get(group).free(upstream, handles);
            mTime.schedule(Duration.ofMillis(9), () -> mSchedulers.get(group).dispatch());
        }
    }

    /** Fails if it is used, as the simulated deployment has one entry only. */
    private static final class NoCoordinatorClient implements CoordinatorClient {

        @Override
        public void submit(
                String coordinator, GroupId group, List<PendingPiece> pieces, Runnable fallback) {
            throw new IllegalStateException("there is no other entry");
        }

        @Override
        public void free(
                String coordinator,
                GroupId group,
                UpstreamId upstream,
                Collection<String> handles,
                Runnable fallback) {
            throw new IllegalStateException("there is no other entry");
        }

        @Override
        public void reportHeldResults(
                String coordinator, GroupId group, Collection<HeldResult> results) {
            throw new IllegalStateException("there is no other entry");
        }
    }
}
