package org.boragethread.agent.serve;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.agent.call.AdmissionConfigurator;
import org.boragethread.agent.call.AdmissionControllerHolder;
import org.boragethread.agent.call.CallController;
import org.boragethread.agent.call.CallMetrics;
import org.boragethread.agent.call.ClaimGuard;
import org.boragethread.agent.call.ManagedAdmissionController;
import org.boragethread.agent.settings.AgentSettings;
import org.boragethread.agent.upstream.GrizzlyUpstreamClient;
import org.boragethread.agent.upstream.UpstreamClient;
import org.boragethread.core.admission.AdaptiveAdmissionController;
import org.boragethread.core.breaker.BreakerAdmissionController;
import org.boragethread.core.breaker.CircuitBreaker;
import org.boragethread.core.config.ConfigMeters;
import org.boragethread.core.config.ConfigStore;
import org.boragethread.core.limit.FixedLimit;
import org.boragethread.core.metrics.AdmissionMetrics;
import org.boragethread.core.metrics.DecisionMetrics;
import org.boragethread.core.metrics.TimerFailureCounter;
import org.boragethread.core.time.ExecutorScheduler;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.SystemTimeSource;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.UpstreamGroup;
import org.boragethread.process.command.Addresses;
import org.boragethread.process.command.Service;
import org.boragethread.process.command.TimerThreads;
import org.boragethread.process.monitor.BodyLimits;
import org.boragethread.process.monitor.HttpServers;
import org.boragethread.process.monitor.MonitoringHandler;
import org.boragethread.process.monitor.WireMetrics;
import org.boragethread.wire.frame.ConfigSource;
import org.boragethread.wire.frame.WireSettings;
import org.boragethread.wire.server.AgentIdentity;
import org.boragethread.wire.server.AgentServer;
import org.glassfish.grizzly.http.server.HttpServer;

/** The agent: its components, assembled from the settings. */
public final class AgentProcess implements Service {

    private static final Logger LOGGER = LogManager.getLogger(AgentProcess.class);

    private static final int HISTORY_RECORDS = 200;
    private static final long HISTORY_BYTES = 1 << 20;
    private static final int EVENT_LOOPS = 1;
    private static final int MONITOR_THREADS = 1;
    private static final long IDLE_POLL_MILLIS = 20;

    private final AgentSettings mSettings;
    private final TimeSource mTime = new SystemTimeSource();
    private final long mIncarnation = new SecureRandom().nextLong();
    private final ClaimGuard mClaims = new ClaimGuard(mIncarnation, mTime);
    private final ScheduledExecutorService mTimers = TimerThreads.create(1);
    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Scheduler mScheduler =
            new ExecutorScheduler(mTimers, new TimerFailureCounter(mRegistry));
    private final ConfigStore mConfig = new ConfigStore(HISTORY_RECORDS, HISTORY_BYTES);
    private final AdmissionControllerHolder mAdmission = new AdmissionControllerHolder();
    private final EventLoopGroup mLoops = new NioEventLoopGroup(EVENT_LOOPS);
    private final UpstreamClient mClient;
    private final AdmissionConfigurator mAdmissionConfigurator;
    private final AgentServer mServer;
    private final HttpServer mMonitor;

    /** Creates an agent without starting it. */
    public AgentProcess(AgentSettings settings) {
        mSettings = settings;
        mClient = new GrizzlyUpstreamClient(settings.upstream(), settings.connectTimeout());
        mAdmissionConfigurator =
                new AdmissionConfigurator(
                        settings.upstreamId(),
                        settings.group(),
                        settings.dataCentre(),
                        mAdmission,
                        this::createAdmissionController);
        mConfig.addListener(mAdmissionConfigurator);
        ConfigMeters.bind(mConfig, mRegistry);
        mServer = createServer();
        mMonitor =
                HttpServers.create(
                        settings.monitorListen(),
                        new MonitoringHandler(mRegistry, this::notReadyReason),
                        BodyLimits.DEFAULT,
                        MONITOR_THREADS);
    }

    private ManagedAdmissionController createAdmissionController(UpstreamGroup group) {
        AdmissionMetrics metrics = new AdmissionMetrics(mRegistry, mSettings.upstreamId());
        AdaptiveAdmissionController.Builder builder =
                new AdaptiveAdmissionController.Builder(mTime, mScheduler, group)
                        .events(metrics)
                        .order(mSettings.order())
                        .maxQueue(mSettings.maxQueue());
        if (mSettings.limit() == AgentSettings.LimitKind.FIXED) {
            builder.limit(new FixedLimit(group.maxLimit()));
        }
        AdaptiveAdmissionController adaptive = builder.build();
        metrics.bind(adaptive);
        if (!mSettings.breaker()) {
            return new ManagedAdmissionController(adaptive, adaptive, group);
        }
        CircuitBreaker breaker =
                new CircuitBreaker(mTime, new SplittableRandom(), new DecisionMetrics(mRegistry));
        return new ManagedAdmissionController(
                adaptive, new BreakerAdmissionController(adaptive, breaker, metrics), group);
    }

    private AgentServer createServer() {
        CallController calls =
                new CallController(
                        mAdmission,
                        mClient,
                        mTime,
                        mScheduler,
                        new CallMetrics(mRegistry),
                        mClaims);
        return new AgentServer.Builder()
                .address(mSettings.listen())
                .identity(identity())
                .settings(WireSettings.withKey(mSettings.sharedKey()))
                .events(new WireMetrics(mRegistry))
                .config(ConfigSource.of(mConfig))
                .handler(calls)
                .claims(mClaims)
                .load(mAdmission::load)
                .time(mTime)
                .group(mLoops)
                .build();
    }

    private AgentIdentity identity() {
        return new AgentIdentity(
                mSettings.upstreamId(), mSettings.group(), mSettings.dataCentre(), mIncarnation);
    }

    /** Starts accepting connections of entries and monitoring requests. */
    @Override
    public void start() {
        InetSocketAddress agent = mServer.start();
        InetSocketAddress monitor = HttpServers.start(mMonitor);
        System.out.println("listening agent " + Addresses.format(agent));
        System.out.println("listening monitor " + Addresses.format(monitor));
        LOGGER.info("agent of upstream {} listening on {}", mSettings.upstreamId(), agent);
    }

    private Optional<String> notReadyReason() {
        if (mAdmission.controller().isEmpty()) {
            return Optional.of(
                    "no configuration of the group yet: check that an entry is connected");
        }
        if (mAdmission.isLeaving()) {
            return Optional.of("the upstream is out of service or the agent is stopping");
        }
        return Optional.empty();
    }

    /**
     * Refuses new calls, waits for running ones to end within the grace period, and closes all
     * connections.
     */
    @Override
    public void stop() {
        LOGGER.info("stopping");
        mAdmissionConfigurator.stop();
        mServer.sendGoaway("the agent stops");
        awaitIdle(mSettings.grace());
        mServer.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        mClient.close();
        mMonitor.shutdownNow();
        mTimers.shutdownNow();
        LOGGER.info("stopped; {} calls were still in flight", mAdmission.load().inFlight());
    }

    private void awaitIdle(Duration timeout) {
        long start = mTime.nanoTime();
        while (mAdmission.load().inFlight() > 0 && mTime.since(start).compareTo(timeout) < 0) {
            pause();
        }
        // Gives the event loop time to write the last responses.
        pause();
    }

    private static void pause() {
        try {
            Thread.sleep(IDLE_POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
