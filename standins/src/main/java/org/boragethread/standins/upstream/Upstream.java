package org.boragethread.standins.upstream;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.boragethread.standins.http.Exchange;
import org.boragethread.standins.http.StandInResponse;
import org.boragethread.standins.http.StandInServer;

/** Stand-in for one upstream, on its own port. */
public final class Upstream implements AutoCloseable {

    private static final StandInResponse FAILED = StandInResponse.text(500, "failed");
    private static final StandInResponse BUSY =
            StandInResponse.text(503, "busy").with("Retry-After", "1");
    private static final long STALL_POLL_MS = 20;
    private static final double NANOS_PER_MS = 1e6;

    private final UpstreamSettings mSettings;
    private final CapacityModel mCapacity;
    private final ScheduledExecutorService mTimer;
    private final StandInServer mServer;
    private final SplittableRandom mRandom;
    private final PrefixCache mPrefixes;
    private final LoadHistory mLoad;
    private final AtomicLong mCallNumbers = new AtomicLong();
    private final List<Order> mLedger = new ArrayList<>();
    private volatile UpstreamFaults mFaults = UpstreamFaults.NONE;

    private Upstream(UpstreamSettings settings, ScheduledExecutorService timer) {
        mSettings = settings;
        mTimer = timer;
        mCapacity = new CapacityModel(settings);
        mRandom = new SplittableRandom(settings.seed());
        mPrefixes = new PrefixCache(settings.prefixSlots());
        mLoad = new LoadHistory(settings.loadLagMs());
        mServer = new StandInServer(settings.name(), 1, new UpstreamHandler(this));
    }

    /**
     * Starts an upstream.
     *
     * @param timer executor of delayed actions
     * @throws IOException if the port cannot be bound
     */
    public static Upstream start(UpstreamSettings settings, ScheduledExecutorService timer)
            throws IOException {
        Upstream upstream = new Upstream(settings, timer);
        upstream.mServer.start(settings.port());
        return upstream;
    }

    /** Returns the upstream's name. */
    public String name() {
        return mSettings.name();
    }

    /** Returns the address as {@code host:port}. */
    public String address() {
        return mServer.address();
    }

    /** Returns the current faults. */
    public UpstreamFaults faults() {
        return mFaults;
    }

    /** Replaces the faults. */
    public void setFaults(UpstreamFaults faults) {
        mFaults = faults;
    }

    /** Makes the upstream cold without notifying its callers. */
    public void goCold() {
        mCapacity.goCold();
    }

    /** Returns the counters since the start or the last reset. */
    public UpstreamStats stats() {
        return mCapacity.stats();
    }

    /** Sets all counters to 0. */
    public void resetStats() {
        mCapacity.resetStats();
    }

    /** Returns the executed orders in the order of their execution. */
    public List<Order> ledger() {
        synchronized (mLedger) {
            return List.copyOf(mLedger);
        }
    }

    /** Refuses new connections and closes the open ones. */
    public void disconnect() {
        mServer.stop();
    }

    /**
     * Listens again on the same port.
     *
     * @throws IOException if the port cannot be bound
     */
    public void reconnect() throws IOException {
        mServer.start(0);
    }

    @Override
    public void close() {
        mServer.stop();
    }

    /** Runs an action asynchronously on the timer's thread. */
    void executeOnTimer(Runnable action) {
        mTimer.execute(action);
    }

    /** Handles a stage call. */
    void handleCall(Exchange exchange) {
        UpstreamFaults faults = mFaults;
        if (withProbability(faults.busyRate())) {
            mCapacity.countBusyResponse();
            exchange.respond(faults.busySaysNotRun() ? BUSY.with("Ran", "no") : BUSY);
            return;
        }
        String requestId = exchange.header("Request-Id").orElse("");
        StageCall call = new StageCall(exchange, requestId, mCallNumbers.getAndIncrement());
        CapacityModel.Admission admission = mCapacity.admit(call, System.nanoTime());
        mLoad.record(mCapacity.inFlight(), mCapacity.inFlightLimit());
        switch (admission) {
            case RUN -> {
                exchange.onClientDisconnected(() -> cancel(call));
                run(call);
            }
            case WAIT -> exchange.onClientDisconnected(() -> cancel(call));
            case REJECT -> exchange.respond(withLoad(BUSY.with("Ran", "no")));
            case OVERLOAD -> {
                mCapacity.inFlightCalls().forEach(this::fail);
                exchange.respond(FAILED);
            }
            default -> exchange.respond(FAILED);
        }
    }

    /** Ends a running call whose response was sent completely. */
    void complete(StageCall call) {
        end(call, CallOutcome.SUCCEEDED);
    }

    /** Fails a running or queued call. */
    void fail(StageCall call) {
        if (end(call, CallOutcome.FAILED)) {
            if (mSettings.kind() == UpstreamKind.ENGINE) {
                call.exchange().abort();
            } else {
                call.exchange().respond(FAILED);
            }
        }
    }

    private void cancel(StageCall call) {
        end(call, CallOutcome.CANCELLED);
    }

    private boolean end(StageCall call, CallOutcome outcome) {
        long now = System.nanoTime();
        boolean endedNow = mCapacity.end(call, outcome, now);
        if (endedNow) {
            mLoad.record(mCapacity.inFlight(), mCapacity.inFlightLimit());
            Optional<StageCall> next = mCapacity.startNext(now);
            next.ifPresent(this::run);
        }
        return endedNow;
    }

    private void run(StageCall call) {
        UpstreamFaults faults = mFaults;
        boolean fails = withProbability(faults.failRate());
        if (fails && withProbability(0.5)) {
            executeOnTimer(() -> fail(call));
            return;
        }
        if (mSettings.kind() == UpstreamKind.ENGINE) {
            new TokenStream(this, mSettings, call).start(fails);
            return;
        }
        if (mSettings.kind() == UpstreamKind.ORDERS) {
            recordOrder(call);
        }
        schedule(serviceMs(), call, () -> finishPlainCall(call, fails));
    }

    private void recordOrder(StageCall call) {
        Exchange exchange = call.exchange();
        long attempt = exchange.headerLong("Attempt", 0);
        String hash = StageOutput.sha256Hex(exchange.body());
        synchronized (mLedger) {
            mLedger.add(new Order(call.requestId(), attempt, hash, System.currentTimeMillis()));
        }
    }

    private void finishPlainCall(StageCall call, boolean fails) {
        if (fails) {
            fail(call);
            return;
        }
        Exchange exchange = call.exchange();
        byte[] body =
                StageOutput.plainResult(
                        exchange.path(),
                        call.requestId(),
                        exchange.body(),
                        mSettings.resultBytes());
        StandInResponse answer =
                StandInResponse.jsonBytes(200, body).with("Request-Id", call.requestId());
        if (withProbability(mFaults.halfAnswers())) {
            if (end(call, CallOutcome.FAILED)) {
                exchange.respondHalf(answer);
            }
            return;
        }
        if (end(call, CallOutcome.SUCCEEDED)) {
            exchange.respond(withLoad(answer));
        }
    }

    /** Runs a step of a call after a delay, or later while the upstream is stalled. */
    void schedule(double delayMs, StageCall call, Runnable step) {
        mTimer.schedule(
                () -> runUnlessStalled(call, step),
                (long) (delayMs * NANOS_PER_MS),
                TimeUnit.NANOSECONDS);
    }

    private void runUnlessStalled(StageCall call, Runnable step) {
        if (mFaults.stall()) {
            schedule(STALL_POLL_MS, call, step);
        } else if (!call.isEnded()) {
            step.run();
        }
    }

    /** Draws a service time under the current load and faults, in milliseconds. */
    double serviceMs() {
        double spread;
        synchronized (mRandom) {
            spread = Math.exp(mSettings.serviceSigma() * mRandom.nextGaussian());
        }
        return mSettings.serviceMs() * spread * slowdownFactor();
    }

    /** Returns the factor on service times under the current load and faults. */
    double slowdownFactor() {
        return mFaults.slowFactor() * mCapacity.contentionFactor();
    }

    /** Records the use of a prompt's prefix and returns whether it was cached. */
    boolean touchPrefix(byte[] prompt) {
        boolean hit = mPrefixes.touch(prompt, mSettings.prefixBytes());
        if (hit) {
            mCapacity.countPrefixHit();
        }
        return hit;
    }

    /** Adds the load header to a response if this upstream reports its load. */
    StandInResponse withLoad(StandInResponse answer) {
        return mLoad.report().map(load -> answer.with("Upstream-Load", load)).orElse(answer);
    }

    /** Returns true with the given probability. */
    boolean withProbability(double probability) {
        if (probability <= 0) {
            return false;
        }
        synchronized (mRandom) {
            return mRandom.nextDouble() < probability;
        }
    }
}
