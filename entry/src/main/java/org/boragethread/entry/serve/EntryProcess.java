package org.boragethread.entry.serve;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.config.ConfigListener;
import org.boragethread.core.config.ConfigStore;
import org.boragethread.core.config.ConfirmService;
import org.boragethread.core.config.PeerConfigs;
import org.boragethread.core.config.PlacedUpstream;
import org.boragethread.core.config.Planner;
import org.boragethread.core.config.SnapshotSettings;
import org.boragethread.core.dispatch.ConnectedUpstreamPicker;
import org.boragethread.core.dispatch.UpstreamLink;
import org.boragethread.core.dispatch.UpstreamTable;
import org.boragethread.core.job.JobSettlementService;
import org.boragethread.core.job.JobTable;
import org.boragethread.core.log.AppendRateLimiter;
import org.boragethread.core.log.PlatformLog;
import org.boragethread.core.metrics.ClaimMetrics;
import org.boragethread.core.metrics.TimerFailureCounter;
import org.boragethread.core.pipeline.DefaultJobPipeline;
import org.boragethread.core.pipeline.PipelineController;
import org.boragethread.core.time.ExecutorScheduler;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.SystemTimeSource;
import org.boragethread.core.time.TimeSource;
import org.boragethread.entry.http.CallerHandler;
import org.boragethread.entry.http.JobHandler;
import org.boragethread.entry.http.JobMetrics;
import org.boragethread.entry.http.PipelineHandler;
import org.boragethread.entry.http.RequestMetrics;
import org.boragethread.entry.membership.MembershipController;
import org.boragethread.entry.operator.OperatorHandler;
import org.boragethread.entry.operator.StatusReport;
import org.boragethread.entry.operator.StatusReporter;
import org.boragethread.entry.settings.EntrySettings;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.job.JobStatus;
import org.boragethread.model.place.EntryId;
import org.boragethread.platform.HttpPlatformLog;
import org.boragethread.platform.HttpVmDirectory;
import org.boragethread.platform.PlatformSettings;
import org.boragethread.process.command.Addresses;
import org.boragethread.process.command.Service;
import org.boragethread.process.command.TimerThreads;
import org.boragethread.process.monitor.BodyLimits;
import org.boragethread.process.monitor.HttpServers;
import org.boragethread.process.monitor.MonitoringHandler;
import org.boragethread.process.monitor.WireMetrics;
import org.boragethread.wire.client.AgentConnector;
import org.boragethread.wire.client.EntryIdentity;
import org.boragethread.wire.client.LinkListener;
import org.boragethread.wire.frame.ConfigSource;
import org.boragethread.wire.frame.WireSettings;
import org.glassfish.grizzly.http.server.HttpServer;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/** An entry process. */
public final class EntryProcess implements Service {

    private static final Logger LOGGER = LogManager.getLogger(EntryProcess.class);

    private static final int CONFIG_HISTORY_RECORDS = 2000;
    private static final long CONFIG_HISTORY_BYTES = 8 << 20;
    private static final double APPENDS_PER_SECOND = 100;
    private static final int APPEND_BURST = 20;
    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CONFIRM_TIMEOUT = Duration.ofSeconds(10);
    private static final int OPERATOR_THREADS = 2;
    private static final int EVENT_LOOP_THREADS =
            Math.max(1, Runtime.getRuntime().availableProcessors() / 2);
    private static final long POLL_MILLIS = 20;

    private static final Duration AGENT_QUERY_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_NAME_LENGTH_IN_ID = 24;

    private final EntrySettings mSettings;
    private final EntryId mEntryId;
    private final TimeSource mTime = new SystemTimeSource();
    private final ScheduledExecutorService mTimerExecutor = TimerThreads.create(2);
    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Scheduler mScheduler =
            new ExecutorScheduler(mTimerExecutor, new TimerFailureCounter(mRegistry));
    private final SplittableRandom mRandom = new SplittableRandom();
    private final RequestMetrics mRequests = new RequestMetrics(mRegistry);
    private final ConfigStore mConfig =
            new ConfigStore(CONFIG_HISTORY_RECORDS, CONFIG_HISTORY_BYTES);
    private final ConfigSource mConfigSource = ConfigSource.of(mConfig);
    private final WireMetrics mWireMetrics = new WireMetrics(mRegistry);
    private final UpstreamTable mUpstreams = new UpstreamTable();
    private final EventLoopGroup mEventLoops = new NioEventLoopGroup(EVENT_LOOP_THREADS);
    private final ConfigService mConfigService;
    private final ClaimStreams mClaims;
    private final JobStream mJobs;
    private final PolicyFactory mPolicies;
    private final PipelineController mPipelines;
    private final MembershipController mMembership;
    private final HttpServer mCallerServer;
    private final HttpServer mOperatorServer;
    private volatile boolean mStopping;

    /** Creates an entry that is not started. */
    public EntryProcess(EntrySettings settings) {
        mSettings = settings;
        mEntryId = newEntryId(settings.id());
        PlatformSettings platform =
                PlatformSettings.of(
                        URI.create("http://" + Addresses.format(settings.platform())),
                        PLATFORM_TIMEOUT);
        HttpClient client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(PLATFORM_TIMEOUT)
                        .build();
        PlatformLog log = new HttpPlatformLog(client, mScheduler, platform);
        LogAccess access = createLogAccess(log);
        mClaims = createClaimStreams(access);
        mPolicies = new PolicyFactory(settings.policies(), mTime);
        mPipelines = createPipelineController();
        mJobs =
                new JobStream(
                        access,
                        settings.jobs(),
                        mEntryId,
                        new DefaultJobPipeline(mPipelines, mConfig::current));
        mConfig.addListener(
                new JobSettlementListener(
                        mJobs.service(),
                        new JobSettlementService(mJobs.service(), mClaims.service()),
                        () -> mConfig.isLoaded() && mJobs.isCaughtUp(),
                        mScheduler));
        mConfigService =
                new ConfigService(
                        createLogAccess(log),
                        mConfig,
                        PeerConfigs.NONE,
                        SnapshotSettings.of(mEntryId.value(), settings.configRetention()),
                        mRegistry);
        mMembership =
                new MembershipController(
                        new HttpVmDirectory(client, mScheduler, platform),
                        this::createConnector,
                        mScheduler,
                        settings.listInterval());
        mConfig.addListener(
                new ConfigListener() {
                    @Override
                    public void onConfiguration(Configuration configuration) {
                        mMembership.announceRevision();
                    }
                });
        mCallerServer = createCallerServer();
        mOperatorServer =
                HttpServers.create(
                        settings.operatorListen(),
                        createOperatorHandler(),
                        BodyLimits.DEFAULT,
                        OPERATOR_THREADS);
    }

    private LogAccess createLogAccess(PlatformLog log) {
        return new LogAccess(
                log,
                new AppendRateLimiter(mTime, APPENDS_PER_SECOND, APPEND_BURST),
                mTime,
                mScheduler,
                mRandom.split());
    }

    private ClaimStreams createClaimStreams(LogAccess access) {
        return new ClaimStreams(
                access,
                mSettings.claims(),
                mEntryId,
                new LinkQueryClient(mUpstreams, mScheduler, AGENT_QUERY_TIMEOUT),
                new ClaimMetrics(mRegistry));
    }

    private static EntryId newEntryId(String name) {
        String prefix = name.substring(0, Math.min(name.length(), MAX_NAME_LENGTH_IN_ID));
        return new EntryId("%s-%s".formatted(prefix, UUID.randomUUID().toString()));
    }

    private OperatorHandler createOperatorHandler() {
        StatusReporter status =
                new StatusReporter(
                        identity(),
                        mConfig::current,
                        mUpstreams,
                        this::notReadyReason,
                        mRequests::inProgress,
                        this::unfinishedWork,
                        this::configAges);
        return new OperatorHandler(
                mSettings.operatorToken(),
                mConfig,
                new Planner(this::placedUpstreams),
                new ConfirmService(mConfig, mConfigService.writer(), CONFIRM_TIMEOUT),
                status);
    }

    private StatusReport.ConfigAges configAges() {
        return StatusReport.ConfigAges.of(mConfigService.staleness(), mConfigService.snapshotAge());
    }

    private StatusReport.UnfinishedWork unfinishedWork() {
        JobTable jobs = mJobs.service().table();
        return new StatusReport.UnfinishedWork(
                mClaims.service().table().openClaims(),
                mClaims.service().unsaved(),
                jobs.unfinished(),
                jobs.count(JobStatus.HELD),
                mJobs.running());
    }

    private Collection<PlacedUpstream> placedUpstreams() {
        return mUpstreams.all().stream()
                .map(link -> new PlacedUpstream(link.upstream(), link.group(), link.dataCentre()))
                .toList();
    }

    private EntryIdentity identity() {
        return new EntryIdentity(mSettings.id(), mSettings.dataCentre());
    }

    private PipelineController createPipelineController() {
        ConnectedUpstreamPicker picker =
                new ConnectedUpstreamPicker(
                        mUpstreams, mConfig::current, mSettings.dataCentre(), mPolicies.selector());
        return new PipelineController(
                picker,
                mPolicies.runPolicies(mRegistry),
                mTime,
                mScheduler,
                Optional.of(mClaims.service()));
    }

    private JobHandler createJobHandler() {
        JobMetrics metrics = new JobMetrics(mRegistry);
        metrics.registerGauges(mJobs.service(), mJobs::running);
        return new JobHandler(
                mJobs.service(),
                mConfig::current,
                mTime,
                mScheduler,
                mSettings.callers(),
                metrics,
                this::refusalReason);
    }

    private HttpServer createCallerServer() {
        PipelineHandler pipelines =
                new PipelineHandler(
                        mPipelines,
                        mConfig::current,
                        mRequests,
                        mTime,
                        mSettings.callers(),
                        mPolicies.teams(),
                        this::refusalReason);
        BodyLimits bodies =
                new BodyLimits(
                        mSettings.callers().maxBodyBytes(), mSettings.callers().bodyTimeout());
        CallerHandler handler = new CallerHandler(pipelines, createJobHandler(), () -> mStopping);
        int threads = Math.max(2, Runtime.getRuntime().availableProcessors() / 2);
        HttpServer server = HttpServers.create(mSettings.listen(), handler, bodies, threads);
        MonitoringHandler monitoring = new MonitoringHandler(mRegistry, this::notReadyReason);
        server.getServerConfiguration()
                .addHttpHandler(monitoring, "/healthz", "/readyz", "/metrics");
        NetworkListener listener = server.getListeners().iterator().next();

        listener.getTransport().setIOStrategy(SameThreadIOStrategy.getInstance());
        listener.setMaxHttpHeaderSize(mSettings.callers().maxHeaderBytes());
        return server;
    }

    private AgentConnector createConnector(InetSocketAddress address) {
        return new AgentConnector.Builder()
                .address(address)
                .identity(identity())
                .settings(WireSettings.withKey(mSettings.sharedKey()))
                .events(mWireMetrics)
                .config(mConfigSource)
                .time(mTime)
                .listener(new UpstreamTableUpdater())
                .group(mEventLoops)
                .random(mRandom.split())
                .build();
    }

    /** Starts following the log and serving callers and operators. */
    @Override
    public void start() {
        mConfigService.start();
        mClaims.start();
        mJobs.start();
        mMembership.start();
        InetSocketAddress callers = HttpServers.start(mCallerServer);
        InetSocketAddress operators = HttpServers.start(mOperatorServer);
        System.out.println("listening callers " + Addresses.format(callers));
        System.out.println("listening operators " + Addresses.format(operators));
        LOGGER.info("entry {} listens at {}", mSettings.id(), callers);
    }

    private Optional<String> refusalReason() {
        if (mConfig.current().revision() == Configuration.NO_REVISION) {
            return Optional.of("the entry has not loaded a configuration yet");
        }
        return Optional.empty();
    }

    private Optional<String> notReadyReason() {
        if (mStopping) {
            return Optional.of("the entry is stopping");
        }
        if (!mConfig.isLoaded()) {
            return Optional.of("the entry has not loaded a configuration yet");
        }
        if (!mClaims.isCaughtUpOrFailing() || !mJobs.isCaughtUpOrFailing()) {
            return Optional.of("the entry has not read the claim and job streams yet");
        }
        if (!mConfig.current().isInService(mSettings.dataCentre())) {
            return Optional.of(
                    "data centre %s is out of service".formatted(mSettings.dataCentre()));
        }
        return Optional.empty();
    }

    /**
     * Reports not ready, continues to serve for the drain time, waits up to the grace period for
     * running requests and jobs, and closes.
     */
    @Override
    public void stop() {
        LOGGER.info("stopping");
        mStopping = true;
        mJobs.stopAcquiring();
        sleep(mSettings.drain().toMillis());
        awaitIdle(mSettings.grace());
        LOGGER.info("closing with {} unfinished requests", mRequests.inProgress());
        HttpServers.stop(mCallerServer, mSettings.grace().toMillis());
        mOperatorServer.shutdownNow();
        mMembership.close();
        mConfigService.stop();
        mClaims.stop();
        mJobs.stop();
        mEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        mTimerExecutor.shutdownNow();
    }

    private void awaitIdle(Duration timeout) {
        long start = mTime.nanoTime();
        while (countUnfinished() > 0 && mTime.since(start).compareTo(timeout) < 0) {
            sleep(POLL_MILLIS);
        }
    }

    /** Counts running requests and jobs, and claim outcomes that are not in the log yet. */
    private int countUnfinished() {
        return mRequests.inProgress() + mJobs.running() + mClaims.service().unsaved();
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Adds connected upstreams to the table and removes disconnected ones. */
    private final class UpstreamTableUpdater implements LinkListener {

        @Override
        public void onUp(UpstreamLink link) {
            mUpstreams.add(link);
        }

        @Override
        public void onDown(UpstreamLink link) {
            mUpstreams.remove(link);
        }
    }
}
