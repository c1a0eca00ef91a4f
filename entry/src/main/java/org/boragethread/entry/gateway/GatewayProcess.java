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
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.boragethread.core.follow.ReadTiming;
import org.boragethread.core.follow.TopicFollower;
import org.boragethread.core.follow.TopicListener;
import org.boragethread.core.member.GroupMembership;
import org.boragethread.core.member.Member;
import org.boragethread.core.time.SystemTimeSource;
import org.boragethread.core.time.TimeSource;
import org.boragethread.platform.store.StoreClient;
import org.boragethread.platform.store.StoreGroup;
import org.boragethread.platform.store.StoreTopic;
import org.boragethread.process.command.Service;
import org.boragethread.process.log.EventLog;
import org.boragethread.process.settings.SettingsProblem;
import org.boragethread.wire.server.Servers;

/** A running entry that serves routes. */
final class GatewayProcess implements Service {

    /**
     * The store holds a read of the configuration this part of the revocation time. A read that
     * fails leaves the proof of the one before, which is two such parts old by then; the rest must
     * last for the three fifths for which requests are served without the store.
     */
    private static final double CONFIG_HOLD = 0.16;

    /** Upstreams' announcements are read this often within the time they have to leave. */
    private static final double UPSTREAM_PAUSE = 0.35;

    private static final Duration STORE_TIMEOUT = Duration.ofMillis(700);
    private static final Duration STORE_RETRY = Duration.ofMillis(200);
    private static final String MEMBER_GROUP = "entries";

    /** An entry that has not joined for this long is taken for dead. */
    private static final Duration MEMBER_LIFETIME = Duration.ofMillis(2500);

    private static final Duration JOIN_INTERVAL = Duration.ofMillis(900);
    private static final long CHECK_MILLIS = 250;

    /** Part of the grace time after which no new request is taken. */
    private static final double CLOSE_AFTER = 0.34;

    /** Time before the end of the grace time at which the process ends whatever still runs. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(900);

    /** Bound on a call of another entry: a stage's pieces with the handles that they need. */
    private static final int MAX_PEER_BYTES = 1 << 20;

    private static final long STOP_POLL_MILLIS = 40;

    private final GatewaySettings mSettings;
    private final TimeSource mTime = new SystemTimeSource();
    private final EventLoopGroup mLoops = new NioEventLoopGroup(1);
    private final EventLoop mLoop = mLoops.next();
    private final GatewayMetrics mMetrics = new GatewayMetrics();
    private final Gateway mGateway;
    private final CallerListener mCallers;
    private final StoreClient mStore;
    private final GroupMembership mMembership;

    GatewayProcess(GatewaySettings settings) {
        mSettings = settings;
        mGateway = new Gateway(settings, mTime, mLoop, mMetrics);
        mCallers = new CallerListener(mGateway, mLoops);
        mStore =
                new StoreClient(
                        mGateway.connections(),
                        mGateway.scheduler(),
                        settings.store(),
                        STORE_TIMEOUT);
        Member self = new Member(settings.peerAddress(), mTime.instant().toEpochMilli());
        mMembership =
                new GroupMembership(
                        new StoreGroup(mStore, MEMBER_GROUP, self.name(), MEMBER_LIFETIME),
                        mGateway.scheduler(),
                        JOIN_INTERVAL,
                        this::onMembers);
    }

    private void onMembers(List<String> members) {
        mGateway.coordinators()
                .setMembers(members.stream().flatMap(name -> Member.parse(name).stream()).toList());
        mGateway.stages().onMembersChanged();
        mGateway.log().event("members").with("names", String.join(" ", members)).info();
    }

    @Override
    public void start() throws Exception {
        mCallers.open(mSettings.listen());
        openPeers();
        StatusEndpoint endpoint = new StatusEndpoint(mGateway);
        openStatus(mSettings.readinessListen(), endpoint);
        if (mSettings.metricsListen().isPresent()) {
            openStatus(mSettings.metricsListen().get(), endpoint);
        }
        mLoop.execute(this::follow);
        mLoop.scheduleWithFixedDelay(
                mCallers::checkTimes, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
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
        mMetrics.gauge("callers", mCallers::open);
        mMetrics.gauge("upstreams", mGateway.directory()::size);
        mMetrics.gauge("connections.opened", mGateway.connections()::opened);
        mMetrics.gauge("log.lines.dropped", mGateway.log()::dropped);
        mMetrics.gauge(
                "config.version",
                () -> mGateway.routing().config().map(config -> config.version()).orElse(0L));
        mMetrics.gauge(
                "config.age.millis",
                () -> mGateway.lease().age().map(Duration::toMillis).orElse(-1L));
    }

    private void follow() {
        Duration hold = fraction(mSettings.revokeTime(), CONFIG_HOLD);
        Duration pause = fraction(mSettings.leaveTime(), UPSTREAM_PAUSE);
        mMembership.start();
        follower(
                        StoreTopic.OPERATOR_TOPIC,
                        new ReadTiming(hold, Duration.ZERO, STORE_RETRY),
                        new ConfigListener(mGateway))
                .start();
        follower(
                        StoreTopic.UPSTREAM_TOPIC,
                        new ReadTiming(Duration.ZERO, pause, STORE_RETRY),
                        new UpstreamListener(mGateway))
                .start();
    }

    private TopicFollower follower(String topic, ReadTiming pace, TopicListener listener) {
        return new TopicFollower(
                new StoreTopic(mStore, topic), mGateway.scheduler(), mTime, pace, listener);
    }

    private void openPeers() throws InterruptedException {
        Servers.accepting(mLoops, this::setUpPeer).bind(mSettings.peerListen()).sync();
    }

    private void setUpPeer(SocketChannel channel) {
        channel.pipeline()
                .addLast(new HttpRequestDecoder())
                .addLast(new HttpObjectAggregator(MAX_PEER_BYTES))
                .addLast(new HttpResponseEncoder())
                .addLast(new PeerEndpoint(mGateway));
    }

    private void openStatus(InetSocketAddress address, StatusEndpoint endpoint)
            throws InterruptedException {
        Servers.accepting(mLoops, channel -> setUpStatus(channel, endpoint)).bind(address).sync();
    }

    private static void setUpStatus(SocketChannel channel, StatusEndpoint endpoint) {
        channel.pipeline()
                .addLast(new HttpRequestDecoder())
                .addLast(new HttpResponseEncoder())
                .addLast(endpoint);
    }

    /**
     * Checks settings that have changed. Times and shares apply at the next start, as do addresses;
     * until then the process goes on with the settings that it has.
     */
    void reload(Either<List<SettingsProblem>, GatewaySettings> loaded) {
        EventLog.Line line = mGateway.log().event("reload");
        if (loaded.isLeft()) {
            line.with("outcome", "refused").with("problems", loaded.getLeft()).warn();
            return;
        }
        boolean same = loaded.get().equals(mSettings);
        line.with("outcome", same ? "unchanged" : "applies-at-next-start").info();
    }

    @Override
    public void stop() {
        long began = mTime.nanoTime();
        ask(
                () -> {
                    mGateway.setStopping();
                    mMembership.stop(
                            left ->
                                    mGateway.log()
                                            .event("members")
                                            .with("outcome", left.isRight() ? "left" : "not-left")
                                            .info());
                    mGateway.log().event("stop").with("outcome", "begun").info();
                    return true;
                });
        Duration closeAfter = fraction(mSettings.grace(), CLOSE_AFTER);
        while (mTime.since(began).compareTo(closeAfter) < 0) {
            pause();
        }
        ask(
                () -> {
                    mCallers.close();
                    return true;
                });
        Duration latest = mSettings.grace().minus(EXIT_MARGIN);
        boolean busy = ask(mCallers::isBusy);
        while (busy && mTime.since(began).compareTo(latest) < 0) {
            pause();
            busy = ask(mCallers::isBusy);
        }
        mGateway.log()
                .event("stop")
                .with("outcome", busy ? "requests-cut" : "complete")
                .with("millis", mTime.since(began).toMillis())
                .info();
        mLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(500);
    }

    /** Runs a task on the event loop. */
    void execute(Consumer<Gateway> task) {
        mLoop.execute(() -> task.accept(mGateway));
    }

    private <T> T ask(Callable<T> question) {
        try {
            return mLoop.submit(question).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while stopping", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("the event loop failed while stopping", e);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(STOP_POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Duration fraction(Duration whole, double share) {
        return Duration.ofMillis((long) (whole.toMillis() * share));
    }
}
