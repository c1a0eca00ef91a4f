package org.boragethread.entry.gateway;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.boragethread.core.follow.CompactedTopic;
import org.boragethread.core.follow.ReadTiming;
import org.boragethread.core.follow.RecordPublisher;
import org.boragethread.core.follow.RelayedTopic;
import org.boragethread.core.follow.TopicFollower;
import org.boragethread.core.follow.TopicListener;
import org.boragethread.core.follow.TopicListeners;
import org.boragethread.core.follow.TopicRelay;
import org.boragethread.core.member.GroupMembership;
import org.boragethread.core.member.Member;
import org.boragethread.core.rollout.EntryReport;
import org.boragethread.core.rollout.RolloutCoordinator;
import org.boragethread.core.time.SystemTimeSource;
import org.boragethread.core.time.TimeSource;
import org.boragethread.entry.rollout.Rollouts;
import org.boragethread.platform.store.StoreAppender;
import org.boragethread.platform.store.StoreClient;
import org.boragethread.platform.store.StoreGroup;
import org.boragethread.platform.store.StoreRolloutLog;
import org.boragethread.platform.store.StoreTopic;
import org.boragethread.platform.store.UpstreamDecoder;
import org.boragethread.process.command.Service;
import org.boragethread.process.log.EventLog;
import org.boragethread.process.settings.SettingsProblem;
import org.boragethread.wire.server.ServerBootstraps;

/** A gateway process: its servers, store followers and group membership. */
final class GatewayProcess implements Service {

    /**
     * Long-poll time of a configuration read, as a fraction of the revocation time. When a read
     * fails, the last proof of freshness comes from the read before, and is two poll times old by
     * then. The rest must cover the three fifths of the revocation time for which requests are
     * served without the store.
     */
    private static final double CONFIG_POLL_FRACTION = 0.16;

    /**
     * Long-poll time of a read of reports about upstreams, as a fraction of the stable window. A
     * read that is lost in a cut must be noticed within the window.
     */
    private static final double REPORT_POLL_FRACTION = 0.5;

    private static final Duration REPORT_EXPIRY_INTERVAL = Duration.ofSeconds(30);

    private static final Duration STORE_TIMEOUT = Duration.ofMillis(700);
    private static final Duration STORE_RETRY_DELAY = Duration.ofMillis(200);

    /**
     * Time beyond the interval between two reads of a relay after which its response is overdue.
     * The store may take most of it to respond to the relay.
     */
    private static final Duration RELAY_MARGIN = Duration.ofMillis(500);

    private static final String MEMBER_GROUP = "entries";

    /** An entry that has not renewed its membership for this long is considered dead. */
    private static final Duration MEMBER_TTL = Duration.ofMillis(2500);

    private static final Duration JOIN_INTERVAL = Duration.ofMillis(900);
    private static final Duration TIMEOUT_CHECK_INTERVAL = Duration.ofMillis(250);

    /**
     * Fraction of the grace period after which no new connections are accepted, and no requests
     * that may last beyond the stop.
     */
    private static final double ACCEPT_FRACTION = 0.34;

    /**
     * Upper bound of that time. The platform excuses a request that is cut off at the end of the
     * grace period if it was sent within three seconds of the signal, which is handled a little
     * later.
     */
    private static final Duration MAX_ACCEPT_TIME = Duration.ofMillis(2700);

    /**
     * Time for which a connection must be idle before it is closed at a stop. A request that its
     * caller has just sent arrives within it.
     */
    private static final Duration MIN_IDLE_TIME = Duration.ofMillis(300);

    /**
     * Fraction of the grace period at whose end the process aborts active requests and exits. Until
     * the last sixth of it a request whose upstream is at work must not be cut off.
     */
    private static final double EXIT_FRACTION = 0.11;

    private static final Duration MAX_EXIT_TIME = Duration.ofMillis(900);

    /** Maximum size of a request from another entry: a stage's pieces with their input handles. */
    private static final int MAX_PEER_REQUEST_BYTES = 1 << 20;

    private static final long STOP_POLL_MILLIS = 40;

    private final GatewaySettings mSettings;
    private final TimeSource mTime = new SystemTimeSource();
    private final EventLoopGroup mLoops = new NioEventLoopGroup(1);
    private final EventLoop mLoop = mLoops.next();
    private final GatewayMetrics mMetrics = new GatewayMetrics();
    private final Gateway mGateway;
    private final CallerServer mCallerServer;
    private final StoreClient mStore;
    private final GroupMembership mMembership;
    private final Member mSelf;

    GatewayProcess(GatewaySettings settings) {
        mSettings = settings;
        mGateway = new Gateway(settings, mTime, mLoop, mMetrics);
        mCallerServer = new CallerServer(mGateway, mLoops);
        mStore =
                new StoreClient(
                        mGateway.connections(),
                        mGateway.scheduler(),
                        settings.store(),
                        STORE_TIMEOUT,
                        new StoreEraLog(mGateway.log(), mMetrics));
        mSelf =
                new Member(
                        settings.peerAddress(),
                        mTime.instant().toEpochMilli(),
                        settings.capacity(),
                        settings.dataCentre());
        mMembership =
                new GroupMembership(
                        new StoreGroup(
                                mStore,
                                MEMBER_GROUP,
                                mSelf.name(),
                                MEMBER_TTL,
                                settings.storePartitions()),
                        mGateway.scheduler(),
                        mTime,
                        mGateway.sharedLimits(),
                        JOIN_INTERVAL,
                        this::onMembers,
                        mGateway.supervisor("membership", MEMBER_GROUP));
        mGateway.setLeaving(mMembership::isLeaving);
    }

    private void onMembers(List<String> members) {
        List<Member> live = members.stream().flatMap(name -> Member.parse(name).stream()).toList();
        mGateway.coordinators().setMembers(live);
        mGateway.streamOrigins().setMembers(live);
        mGateway.rollouts().setMembers(live);
        mGateway.stageRouter().onMembersChanged();
        mGateway.placementServer()
                .onMembersChanged(live.stream().map(Member::address).collect(Collectors.toSet()));
        mGateway.placements().onMembersChanged();
        mGateway.placements().restore(DirectoryEngines.withLimitedMemory(mGateway));
        mGateway.log().event("members").with("names", String.join(" ", members)).info();
    }

    @Override
    public void start() throws Exception {
        mCallerServer.bind(mSettings.listen());
        bindPeerServer();
        StatusEndpoint endpoint = new StatusEndpoint(mGateway);
        bindStatusServer(mSettings.readinessListen(), endpoint);
        if (mSettings.metricsListen().isPresent()) {
            bindStatusServer(mSettings.metricsListen().get(), endpoint);
        }
        mLoop.execute(this::startFollowers);
        repeat(TIMEOUT_CHECK_INTERVAL, mCallerServer::closeTimedOut);
        registerGauges();
        mGateway.log()
                .event("start")
                .with("name", mSettings.name())
                .with("dataCentre", mSettings.dataCentre())
                .with("listen", mSettings.listen())
                .with("store", mSettings.store())
                .info();
    }

    private void registerGauges() {
        mMetrics.gauge("callers", mCallerServer::connectionCount);
        mMetrics.gauge("upstreams", mGateway.directory()::size);
        mMetrics.gauge("placement.waiting", mGateway.placementServer()::waiting);
        mMetrics.gauge("placement.placed", mGateway.placementServer()::placed);
        mMetrics.gauge("connections.opened", mGateway.connections()::connectionAttempts);
        mMetrics.gauge("log.lines.dropped", mGateway.log()::droppedLines);
        mMetrics.gauge(
                "config.version",
                () -> mGateway.routingTable().config().map(config -> config.version()).orElse(0L));
        mMetrics.gauge(
                "config.age.millis",
                () -> mGateway.lease().age().map(Duration::toMillis).orElse(-1L));
    }

    private void startFollowers() {
        Duration configPollTime = fraction(mSettings.revokeTime(), CONFIG_POLL_FRACTION);
        if (mSettings.scheduling().isShared()) {
            mGateway.warmUpPlacements();
        }
        mMembership.start();
        startRollouts();
        TopicFollower operators =
                follower(
                        StoreTopic.OPERATOR_TOPIC,
                        new ReadTiming(configPollTime, Duration.ZERO, STORE_RETRY_DELAY),
                        new TopicListeners(
                                List.of(
                                        new ConfigListener(mGateway),
                                        mGateway.rollouts().orders())),
                        (key, previous, value) -> Arrays.equals(previous, value));
        TopicListener upstreams = new UpstreamListener(mGateway);
        // A version is used once the orders were read after it, so a long poll of the orders that
        // began before the upstreams were read would leave a new process without any.
        boolean areOrdersLater = mSettings.rollouts().isPresent();
        follower(
                        StoreTopic.UPSTREAM_TOPIC,
                        new ReadTiming(
                                Duration.ZERO, mSettings.upstreamReadInterval(), STORE_RETRY_DELAY),
                        areOrdersLater
                                ? new TopicListeners(
                                        List.of(upstreams, new FirstSnapshot(operators::start)))
                                : upstreams,
                        UpstreamDecoder::isUnchanged)
                .start();
        if (!areOrdersLater) {
            operators.start();
        }
        startReports();
    }

    /** Starts to take part in roll-outs, if any are to be carried out. */
    private void startRollouts() {
        Rollouts rollouts = mGateway.rollouts();
        StoreTopic topic = new StoreTopic(mStore, StoreTopic.STATUS_TOPIC);
        rollouts.start(
                mSelf,
                new StoreRolloutLog(topic, new StoreAppender(mStore, StoreTopic.STATUS_TOPIC)),
                (listener, pollTime) ->
                        follower(
                                StoreTopic.STATUS_TOPIC,
                                new ReadTiming(pollTime, Duration.ZERO, STORE_RETRY_DELAY),
                                listener,
                                (key, previous, value) -> Arrays.equals(previous, value)));
        if (mSettings.rollouts().isPresent()) {
            repeat(Duration.ofMillis(EntryReport.PERIOD_MILLIS), rollouts::reportAll);
            repeat(Duration.ofMillis(RolloutCoordinator.TICK_MILLIS), rollouts::tick);
        }
    }

    /** Starts to share what entries find out about upstreams. */
    private void startReports() {
        RecordPublisher publisher =
                new RecordPublisher(
                        new StoreAppender(mStore, StoreTopic.REPORT_TOPIC),
                        mGateway.scheduler(),
                        STORE_RETRY_DELAY,
                        mGateway.supervisor("publisher", StoreTopic.REPORT_TOPIC));
        QuarantineSync quarantine = mGateway.quarantineSync();
        RateLimitSync rateLimits = mGateway.rateLimitSync();
        quarantine.setPublisher(publisher);
        rateLimits.setPublisher(publisher);
        Duration pollTime = fraction(mSettings.stableWindow(), REPORT_POLL_FRACTION);
        follower(
                        StoreTopic.REPORT_TOPIC,
                        new ReadTiming(pollTime, Duration.ZERO, STORE_RETRY_DELAY),
                        new TopicListeners(List.of(rateLimits, quarantine)),
                        (key, previous, value) -> Arrays.equals(previous, value))
                .start();
        repeat(REPORT_EXPIRY_INTERVAL, quarantine::expire);
        repeat(REPORT_EXPIRY_INTERVAL, rateLimits::expire);
    }

    /** Repeats a task on the event loop, also after it threw. */
    private void repeat(Duration interval, Runnable task) {
        long millis = interval.toMillis();
        mLoop.scheduleWithFixedDelay(
                () -> mGateway.guard().bind(task).run(), millis, millis, TimeUnit.MILLISECONDS);
    }

    private TopicFollower follower(
            String topic,
            ReadTiming pace,
            TopicListener listener,
            TopicRelay.RecordFilter relayFilter) {
        TopicRelay relay = new TopicRelay(mTime, relayFilter);
        mGateway.setTopicRelay(topic, relay);
        CompactedTopic source =
                new RelayedTopic(
                        new StoreTopic(mStore, topic),
                        topic,
                        new PeerTopicClient(
                                mGateway.connections(), mGateway.scheduler(), mGateway.log()),
                        () -> mGateway.coordinators().relayFor(mSettings.peerAddress()),
                        mTime,
                        pace.longPollTime().plus(pace.pause()).plus(RELAY_MARGIN));
        return new TopicFollower(
                source,
                mGateway.scheduler(),
                mTime,
                pace,
                listener,
                relay,
                mGateway.supervisor("follower", topic));
    }

    private void bindPeerServer() throws InterruptedException {
        ServerBootstraps.create(mLoops, this::initPeerChannel).bind(mSettings.peerListen()).sync();
    }

    private void initPeerChannel(SocketChannel channel) {
        channel.pipeline()
                .addLast(new HttpRequestDecoder())
                .addLast(new HttpObjectAggregator(MAX_PEER_REQUEST_BYTES))
                .addLast(new HttpResponseEncoder())
                .addLast(new PeerEndpoint(mGateway));
    }

    private void bindStatusServer(InetSocketAddress address, StatusEndpoint endpoint)
            throws InterruptedException {
        ServerBootstraps.create(mLoops, channel -> initStatusChannel(channel, endpoint))
                .bind(address)
                .sync();
    }

    private static void initStatusChannel(SocketChannel channel, StatusEndpoint endpoint) {
        channel.pipeline()
                .addLast(new HttpRequestDecoder())
                .addLast(new HttpResponseEncoder())
                .addLast(endpoint);
    }

    /**
     * Validates changed settings. No setting is applied to the running process: all of them,
     * including times, shares and addresses, take effect at the next start.
     */
    void reload(Either<List<SettingsProblem>, GatewaySettings> loaded) {
        EventLog.Line line = mGateway.log().event("reload");
        if (loaded.isLeft()) {
            line.with("outcome", "refused").with("problems", loaded.getLeft()).warn();
            return;
        }
        boolean unchanged = loaded.get().equals(mSettings);
        line.with("outcome", unchanged ? "unchanged" : "applies-at-next-start").info();
    }

    @Override
    public void stop() {
        long startNanos = mTime.nanoTime();
        Duration abortAfter = mSettings.gracePeriod().minus(exitTime());
        Duration closeAfter = acceptTime();
        callOnLoop(
                () -> {
                    mGateway.setStopping(closeAfter, abortAfter);
                    mMembership.stop(
                            abortAfter,
                            left ->
                                    mGateway.log()
                                            .event("members")
                                            .with("outcome", left.isRight() ? "left" : "not-left")
                                            .info());
                    logStop("begun", mCallerServer.activeRequestIds()).info();
                    return true;
                });
        while (mTime.since(startNanos).compareTo(closeAfter) < 0) {
            sleepBetweenPolls();
        }
        callOnLoop(mCallerServer::stopAccepting)
                .awaitUninterruptibly(abortAfter.minus(closeAfter).toMillis());
        boolean open = callOnLoop(this::closeIdle);
        while (open && mTime.since(startNanos).compareTo(abortAfter) < 0) {
            sleepBetweenPolls();
            open = callOnLoop(this::closeIdle);
        }
        boolean busy = open;
        callOnLoop(
                () -> {
                    endRequests(busy, startNanos);
                    mMembership.leave();
                    mGateway.connections().close();
                    return true;
                });
        // The calls that were closed get their ends before this task runs.
        callOnLoop(() -> true);
        mLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(500);
    }

    /** Returns the time from the signal in which requests are admitted that may be cut off. */
    private Duration acceptTime() {
        return min(fraction(mSettings.gracePeriod(), ACCEPT_FRACTION), MAX_ACCEPT_TIME);
    }

    /** Returns the time before the end of the grace period at which active requests are aborted. */
    private Duration exitTime() {
        return min(fraction(mSettings.gracePeriod(), EXIT_FRACTION), MAX_EXIT_TIME);
    }

    private void endRequests(boolean busy, long stopNanos) {
        List<String> ended = mCallerServer.activeRequestIds();
        EventLog.Line line = logStop(busy ? "requests-ended" : "complete", ended);
        try {
            mCallerServer.endActiveRequests();
        } finally {
            line.with("unanswered", ConnectionTrace.join(mCallerServer.activeRequestIds()))
                    .with("millis", mTime.since(stopNanos).toMillis())
                    .info();
        }
    }

    /** Starts a line about a stop, with the requests and connections at this time. */
    private EventLog.Line logStop(String outcome, List<String> requestIds) {
        EventLog.Line line = mGateway.log().event("stop").with("outcome", outcome);
        if (!requestIds.isEmpty()) {
            line.with("request", ConnectionTrace.join(requestIds));
        }
        return line.with("connections", mCallerServer.connectionCount())
                .with("requests", requestIds.size())
                .with("receiving", mCallerServer.busyCount() - requestIds.size());
    }

    /** Closes idle connections soon; returns whether any are open now. */
    private boolean closeIdle() {
        mCallerServer.closeIdle(MIN_IDLE_TIME);
        return mCallerServer.connectionCount() > 0;
    }

    /** Runs a task on the event loop without waiting for it. */
    void execute(Consumer<Gateway> task) {
        mLoop.execute(() -> task.accept(mGateway));
    }

    private <T> T callOnLoop(Callable<T> task) {
        try {
            return mLoop.submit(task).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while stopping", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a task on the event loop failed while stopping", e);
        }
    }

    private static void sleepBetweenPolls() {
        try {
            Thread.sleep(STOP_POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Duration fraction(Duration total, double factor) {
        return Duration.ofMillis((long) (total.toMillis() * factor));
    }
}
