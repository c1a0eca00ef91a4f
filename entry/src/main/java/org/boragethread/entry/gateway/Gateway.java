package org.boragethread.entry.gateway;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.boragethread.core.callback.CallbackGuard;
import org.boragethread.core.callback.Supervisor;
import org.boragethread.core.follow.FreshnessLease;
import org.boragethread.core.follow.TopicRelay;
import org.boragethread.core.member.PartitionLease;
import org.boragethread.core.quarantine.BlockTimes;
import org.boragethread.core.quarantine.Quarantine;
import org.boragethread.core.resume.StreamOriginDirectory;
import org.boragethread.core.retry.SharedRetryBudget;
import org.boragethread.core.rollout.RolloutBounds;
import org.boragethread.core.routing.RoutingTable;
import org.boragethread.core.stage.BatchClient;
import org.boragethread.core.stage.BatchScheduler;
import org.boragethread.core.stage.CoordinatorTable;
import org.boragethread.core.stage.LocalStagePolicy;
import org.boragethread.core.stage.SharedStagePolicy;
import org.boragethread.core.stage.StagePolicy;
import org.boragethread.core.stage.StageRouter;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.ColdRateShare;
import org.boragethread.core.upstream.RateLimitShare;
import org.boragethread.core.upstream.ResponseTimeModel;
import org.boragethread.core.upstream.StreamDurationModel;
import org.boragethread.core.upstream.UpstreamChooser;
import org.boragethread.core.upstream.UpstreamDirectory;
import org.boragethread.entry.placement.EntryIncarnation;
import org.boragethread.entry.placement.PeerCoordinatorLink;
import org.boragethread.entry.placement.PlacementRouter;
import org.boragethread.entry.placement.PlacementServer;
import org.boragethread.entry.placement.PlacementWarmUp;
import org.boragethread.entry.rollout.RolloutContext;
import org.boragethread.entry.rollout.Rollouts;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RoutedGroup;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.platform.store.StoreGroup;
import org.boragethread.process.log.EventLog;
import org.boragethread.wire.http.HttpConnectionPool;

/** State and services shared by all requests of a gateway. Confined to one event loop. */
final class Gateway {

    /** Part of the revocation time that is reserved for a request's travel time to this process. */
    private static final Duration REVOKE_MARGIN = Duration.ofMillis(300);

    private final GatewaySettings mSettings;
    private final TimeSource mTime;
    private final CallbackGuard mGuard = new CallbackGuard(this::onCallbackFailed);
    private final Scheduler mScheduler;
    private final HttpConnectionPool mConnections;
    private final UpstreamSignals mUpstreamSignals;
    private final EventLog mLog;
    private final GatewayMetrics mMetrics;
    private final RoutingTable mRoutingTable = new RoutingTable();
    private final UpstreamDirectory mDirectory;
    private final FreshnessLease mLease;
    private final PartitionLease mSharedLimits;
    private final RateLimitShare mRateLimitShare;
    private final RateLimitSync mRateLimitSync;
    private final QuarantineSync mQuarantineSync;
    private final Quarantine mQuarantine;
    private final CrashDetector mCrashDetector;
    private final StreamOriginDirectory mStreamOrigins;
    private final UpstreamChooser mChooser;
    private final BatchClient mBatchClient;
    private final CoordinatorTable mCoordinators;
    private final StageRouter mStageRouter;
    private final PlacementServer mPlacementServer;
    private final PlacementRouter mPlacements;
    private final Rollouts mRollouts;
    private final Map<GroupId, RateLimitQueue> mRateLimitQueues = new HashMap<>();
    private final Map<GroupId, SharedRetryBudget> mRetryBudgets = new HashMap<>();
    private final Map<GroupId, ResponseTimeModel> mResponseTimes = new HashMap<>();
    private final Map<GroupId, StreamDurationModel> mStreamDurations = new HashMap<>();
    private final Map<GroupId, BatchScheduler> mBatchSchedulers = new HashMap<>();
    private final Map<String, TopicRelay> mTopicRelays = new HashMap<>();
    private boolean mUpstreamsKnown;
    private boolean mQuarantineKnown;
    private boolean mStopping;
    private long mLastCallsNanos;
    private long mAbortNanos;
    private BooleanSupplier mLeaving = () -> false;

    Gateway(GatewaySettings settings, TimeSource time, EventLoop loop, GatewayMetrics metrics) {
        mSettings = settings;
        mTime = time;
        mLog = new EventLog(LogManager.getLogger(Gateway.class), time);
        mMetrics = metrics;
        mScheduler = new EventLoopScheduler(loop, mGuard);
        mConnections = new HttpConnectionPool(loop, time, mGuard);
        mDirectory = new UpstreamDirectory(time, settings.upstreamReadTimeout());
        mSharedLimits =
                new PartitionLease(
                        time,
                        StoreGroup.partitions(settings.storePartitions()),
                        settings.revokeTime());
        mLease = new FreshnessLease(time, settings.revokeTime().minus(REVOKE_MARGIN));
        mRateLimitShare = new RateLimitShare(mSharedLimits, settings.stableWindow());
        mChooser =
                new UpstreamChooser(
                        mDirectory,
                        time,
                        settings.dataCentre(),
                        settings.regions(),
                        new ColdRateShare(settings.coldRateBound(), mSharedLimits),
                        mRateLimitShare);
        mQuarantineSync = new QuarantineSync(this, this::quarantine);
        mQuarantine =
                new Quarantine(
                        time,
                        settings.name(),
                        BlockTimes.of(settings.stableWindow(), settings.blockTime()),
                        mQuarantineSync);
        mCrashDetector = new CrashDetector(mConnections, time, mLog, metrics, mQuarantine);
        mRateLimitSync = new RateLimitSync(this);
        mStreamOrigins =
                new StreamOriginDirectory(
                        settings.peerAddress(),
                        time,
                        new StreamOriginClient(mConnections, mScheduler),
                        () -> metrics.onStreamOrigin("not-recorded"));
        mUpstreamSignals =
                new UpstreamSignals(
                        mScheduler, time, mLog, metrics, mRateLimitSync, settings.scheduling());
        mCoordinators = new CoordinatorTable(time, settings.dataCentre());
        mRollouts = createRollouts();
        mBatchClient = createBatchClient();
        mStageRouter = createStageRouter();
        mPlacementServer = new PlacementServer(new DirectoryEngines(this), time);
        mPlacements = createPlacementRouter();
    }

    private StageRouter createStageRouter() {
        return new StageRouter(
                mSettings.peerAddress(),
                mCoordinators,
                this::batchScheduler,
                new PeerClient(mConnections, mScheduler, mTime, mLog),
                mBatchClient,
                mDirectory,
                mTime);
    }

    private PlacementRouter createPlacementRouter() {
        return new PlacementRouter(
                new EntryIncarnation(mSettings.peerAddress(), mTime.instant().toEpochMilli()),
                mCoordinators,
                new PeerCoordinatorLink(mConnections, mScheduler, PeerClient::createCall),
                mPlacementServer,
                mScheduler,
                mTime,
                supervisor("placement", "router"),
                mLog,
                mMetrics);
    }

    private BatchClient createBatchClient() {
        return new HttpBatchClient(
                mConnections,
                mScheduler,
                mTime,
                mLog,
                mMetrics,
                mUpstreamSignals,
                mRateLimitShare,
                new StageRollouts(this),
                group -> batchScheduler(group).dispatch());
    }

    private Rollouts createRollouts() {
        RolloutContext context =
                new RolloutContext(
                        mTime,
                        mScheduler,
                        supervisor("rollout", "group"),
                        mLog,
                        mMetrics.registry(),
                        mDirectory,
                        new CoordinatorTable(mTime, mSettings.dataCentre()),
                        new RolloutReportClient(mConnections, mScheduler),
                        group -> groupConfig(group).isPresent(),
                        this::departureTime);
        return new Rollouts(
                context,
                mSettings
                        .rollouts()
                        .map(
                                rollouts ->
                                        new RolloutBounds(
                                                rollouts.trialShare(),
                                                rollouts.rollbackTime(),
                                                mSettings.revokeTime())),
                mSettings.revokeTime().minus(REVOKE_MARGIN));
    }

    /**
     * Returns the time after which an entry that is cut off or gone has no request in flight; empty
     * until the configuration is known.
     */
    private Optional<Duration> departureTime() {
        return mRoutingTable
                .config()
                .map(
                        config ->
                                config.routes().stream()
                                        .map(Route::timeout)
                                        .max(Comparator.naturalOrder())
                                        .orElse(Duration.ZERO))
                .map(mSettings.revokeTime()::plus);
    }

    /** Returns the roll-outs in which this process takes part. */
    Rollouts rollouts() {
        return mRollouts;
    }

    GatewaySettings settings() {
        return mSettings;
    }

    TimeSource time() {
        return mTime;
    }

    /** Returns what runs callbacks, so that one that throws ends what it acts for. */
    CallbackGuard guard() {
        return mGuard;
    }

    /** Returns what keeps an activity of this process going, and reports its failures. */
    Supervisor supervisor(String owner, String name) {
        return new Supervisor(mGuard, cause -> onActivityFailed(owner, name, cause));
    }

    private void onActivityFailed(String owner, String name, Throwable cause) {
        mMetrics.onCallbackFailed(owner);
        mLog.event("callback-failed").with("owner", owner).with("name", name).warn(cause);
    }

    private void onCallbackFailed(Throwable cause) {
        mMetrics.onCallbackFailed("process");
        mLog.event("callback-failed").with("owner", "process").warn(cause);
    }

    Scheduler scheduler() {
        return mScheduler;
    }

    HttpConnectionPool connections() {
        return mConnections;
    }

    EventLog log() {
        return mLog;
    }

    GatewayMetrics metrics() {
        return mMetrics;
    }

    RoutingTable routingTable() {
        return mRoutingTable;
    }

    UpstreamDirectory directory() {
        return mDirectory;
    }

    FreshnessLease lease() {
        return mLease;
    }

    UpstreamSignals upstreamSignals() {
        return mUpstreamSignals;
    }

    Quarantine quarantine() {
        return mQuarantine;
    }

    QuarantineSync quarantineSync() {
        return mQuarantineSync;
    }

    CrashDetector crashDetector() {
        return mCrashDetector;
    }

    /** Returns where streams began, as far as the entries know. */
    StreamOriginDirectory streamOrigins() {
        return mStreamOrigins;
    }

    UpstreamChooser chooser() {
        return mChooser;
    }

    /** Returns this process's lease of the units of limits that all entries share. */
    PartitionLease sharedLimits() {
        return mSharedLimits;
    }

    /** Returns this process's share of the limits that upstreams name. */
    RateLimitShare rateLimitShare() {
        return mRateLimitShare;
    }

    RateLimitSync rateLimitSync() {
        return mRateLimitSync;
    }

    /** Returns where requests of a group wait while its upstreams name limits. */
    RateLimitQueue rateLimitQueue(GroupId group) {
        return mRateLimitQueues.computeIfAbsent(group, id -> new RateLimitQueue());
    }

    CoordinatorTable coordinators() {
        return mCoordinators;
    }

    /** Returns the relay of a topic, if this process follows the topic. */
    Optional<TopicRelay> topicRelay(String topic) {
        return Optional.ofNullable(mTopicRelays.get(topic));
    }

    void setTopicRelay(String topic, TopicRelay relay) {
        mTopicRelays.put(topic, relay);
    }

    /** Returns the router of pieces to the entries that schedule them. */
    StageRouter stageRouter() {
        return mStageRouter;
    }

    /** Returns what asks the coordinators of groups where requests run. */
    PlacementRouter placements() {
        return mPlacements;
    }

    /** Places sample requests, so that this entry can become a coordinator at any moment. */
    void warmUpPlacements() {
        long startNanos = mTime.nanoTime();
        int placed = PlacementWarmUp.run(supervisor("placement", "warm-up"), mTime);
        mLog.event("placement-warm-up")
                .with("placed", placed)
                .with("millis", mTime.since(startNanos).toMillis())
                .info();
    }

    /** Returns what places the requests of all entries while this entry is a coordinator. */
    PlacementServer placementServer() {
        return mPlacementServer;
    }

    /** Returns the retry budget of a group. */
    SharedRetryBudget retryBudget(GroupId group) {
        return mRetryBudgets.computeIfAbsent(group, this::createRetryBudget);
    }

    private SharedRetryBudget createRetryBudget(GroupId group) {
        GatewaySettings.RetryBound bound = mSettings.retryBound();
        Duration window = SharedRetryBudget.retryWindow(bound.window());
        String limit = "retry/" + group.value();
        return new SharedRetryBudget(
                mTime,
                bound.ratio(),
                bound.window(),
                () -> mSharedLimits.units(limit, (int) bound.slack(), window));
    }

    /** Returns the response times of a group, as far as this process has seen them. */
    ResponseTimeModel responseTimes(GroupId group) {
        return mResponseTimes.computeIfAbsent(group, id -> new ResponseTimeModel());
    }

    /** Returns how long forwarded responses of a group take from their first part on. */
    StreamDurationModel streamDurations(GroupId group) {
        return mStreamDurations.computeIfAbsent(group, id -> new StreamDurationModel());
    }

    /** Returns the scheduler of a group's pieces, used while this entry coordinates the group. */
    BatchScheduler batchScheduler(GroupId group) {
        return mBatchSchedulers.computeIfAbsent(group, this::createBatchScheduler);
    }

    private BatchScheduler createBatchScheduler(GroupId group) {
        StagePolicy policy =
                mSettings.scheduling().isShared()
                        ? new SharedStagePolicy(new StageLog(group, mLog, mMetrics))
                        : new LocalStagePolicy();
        return new BatchScheduler(
                new DirectoryBatchGroup(this, group, policy),
                mBatchClient,
                retryBudget(group),
                mScheduler,
                mTime,
                supervisor("stages", group.value()),
                policy);
    }

    /** Returns the configuration of a group, if it is configured. */
    Optional<RoutedGroup> groupConfig(GroupId id) {
        return mRoutingTable.config().map(config -> config.groups().get(id));
    }

    void setUpstreamsKnown() {
        mUpstreamsKnown = true;
    }

    /** Called when the reports of other entries were read, or the store does not deliver them. */
    void setQuarantineKnown() {
        mQuarantineKnown = true;
    }

    /**
     * Sets that this process stops.
     *
     * @param lastCallsAfter time from now after which requests that begin to arrive are admitted
     *     only if their deadlines are in time
     * @param abortAfter time from now after which active requests are aborted
     */
    void setStopping(Duration lastCallsAfter, Duration abortAfter) {
        mStopping = true;
        mLastCallsNanos = mTime.nanoTime() + lastCallsAfter.toNanos();
        mAbortNanos = mTime.nanoTime() + abortAfter.toNanos();
    }

    /** Returns whether a request that began to arrive at a time came late in a stop. */
    boolean isAfterLastCalls(long nanos) {
        return mStopping && nanos - mLastCallsNanos > 0;
    }

    /** Returns the time until a stopping process ends its requests; zero after it. */
    Duration timeToServe() {
        return Duration.ofNanos(Math.max(0, mAbortNanos - mTime.nanoTime()));
    }

    boolean isStopping() {
        return mStopping;
    }

    /** Sets what tells whether this process has begun to leave the group of entries. */
    void setLeaving(BooleanSupplier leaving) {
        mLeaving = leaving;
    }

    /** Returns whether other entries should not delegate more to this one. */
    boolean isLeaving() {
        return mLeaving.getAsBoolean();
    }

    /** Returns whether the load balancer should send new connections here. */
    boolean isReady() {
        return !mStopping
                && mRoutingTable.config().isPresent()
                && mUpstreamsKnown
                && mQuarantineKnown
                && mRollouts.isReady()
                && mLease.isHeld();
    }

    /** Schedules tasks on the event loop, for the owner of the callback that schedules them. */
    private record EventLoopScheduler(EventLoop loop, CallbackGuard guard) implements Scheduler {

        @Override
        public Timer schedule(Duration delay, Runnable task) {
            Future<?> future =
                    loop.schedule(guard.bind(task), delay.toNanos(), TimeUnit.NANOSECONDS);
            return () -> future.cancel(false);
        }
    }
}
