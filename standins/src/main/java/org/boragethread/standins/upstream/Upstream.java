package org.boragethread.standins.upstream;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.boragethread.standins.http.Answer;
import org.boragethread.standins.http.Exchange;
import org.boragethread.standins.http.StandInServer;

/** Stand-in for one upstream, on its own port. */
public final class Upstream implements AutoCloseable {

    private static final Answer FAILED = Answer.text(500, "failed");
    private static final Answer BUSY = Answer.text(503, "busy").with("Retry-After", "1");
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
    public void refuse() {
        mServer.stop();
    }

    /**
     * Listens again on the same port.
     *
     * @throws IOException if the port cannot be bound
     */
    public void accept() throws IOException {
        mServer.start(0);
    }

    @Override
    public void close() {
        mServer.stop();
    }

    /** Runs an action asynchronously on the timer's thread. */
    void later(Runnable action) {
        mTimer.execute(action);
    }

    /** Handles a stage call. */
    void call(Exchange exchange) {
        UpstreamFaults faults = mFaults;
        if (chance(faults.busyRate())) {
            mCapacity.countBusyAnswer();
            exchange.answer(faults.busySaysNotRun() ? BUSY.with("Ran", "no") : BUSY);
            return;
        }
        String requestId = exchange.header("Request-Id").orElse("");
        Work work = new Work(exchange, requestId, mCallNumbers.getAndIncrement());
        CapacityModel.Arrival arrival = mCapacity.arrive(work, System.nanoTime());
        mLoad.record(mCapacity.held(), mCapacity.bears());
        switch (arrival) {
            case RUN -> {
                exchange.onClosed(() -> cancel(work));
                run(work);
            }
            case WAIT -> exchange.onClosed(() -> cancel(work));
            case REFUSE -> exchange.answer(withLoad(BUSY.with("Ran", "no")));
            case FALL_OVER -> {
                mCapacity.all().forEach(this::fail);
                exchange.answer(FAILED);
            }
            default -> exchange.answer(FAILED);
        }
    }

    /** Ends a running call whose response was sent completely. */
    void complete(Work work) {
        end(work, Ending.GOOD);
    }

    /** Fails a running or queued call. */
    void fail(Work work) {
        if (end(work, Ending.FAILED)) {
            if (mSettings.kind() == UpstreamKind.ENGINE) {
                work.exchange().abort();
            } else {
                work.exchange().answer(FAILED);
            }
        }
    }

    private void cancel(Work work) {
        end(work, Ending.CANCELLED);
    }

    private boolean end(Work work, Ending ending) {
        long now = System.nanoTime();
        boolean endedNow = mCapacity.end(work, ending, now);
        if (endedNow) {
            mLoad.record(mCapacity.held(), mCapacity.bears());
            Optional<Work> next = mCapacity.startNext(now);
            next.ifPresent(this::run);
        }
        return endedNow;
    }

    private void run(Work work) {
        UpstreamFaults faults = mFaults;
        boolean fails = chance(faults.failRate());
        if (fails && chance(0.5)) {
            later(() -> fail(work));
            return;
        }
        if (mSettings.kind() == UpstreamKind.ENGINE) {
            new TokenStream(this, mSettings, work).start(fails);
            return;
        }
        if (mSettings.kind() == UpstreamKind.ORDERS) {
            recordOrder(work);
        }
        schedule(serviceMs(), work, () -> finishPlainCall(work, fails));
    }

    private void recordOrder(Work work) {
        Exchange exchange = work.exchange();
        long attempt = exchange.headerLong("Attempt", 0);
        String hash = Content.hash(exchange.body());
        synchronized (mLedger) {
            mLedger.add(new Order(work.requestId(), attempt, hash, System.currentTimeMillis()));
        }
    }

    private void finishPlainCall(Work work, boolean fails) {
        if (fails) {
            fail(work);
            return;
        }
        Exchange exchange = work.exchange();
        byte[] body =
                Content.plainResult(
                        exchange.path(),
                        work.requestId(),
                        exchange.body(),
                        mSettings.resultBytes());
        Answer answer = Answer.jsonBytes(200, body).with("Request-Id", work.requestId());
        if (chance(mFaults.halfAnswers())) {
            if (end(work, Ending.FAILED)) {
                exchange.answerHalf(answer);
            }
            return;
        }
        if (end(work, Ending.GOOD)) {
            exchange.answer(withLoad(answer));
        }
    }

    /** Runs a step of a call after a delay, or later while the upstream is stalled. */
    void schedule(double delayMs, Work work, Runnable step) {
        mTimer.schedule(
                () -> runUnlessStalled(work, step),
                (long) (delayMs * NANOS_PER_MS),
                TimeUnit.NANOSECONDS);
    }

    private void runUnlessStalled(Work work, Runnable step) {
        if (mFaults.stall()) {
            schedule(STALL_POLL_MS, work, step);
        } else if (!work.isEnded()) {
            step.run();
        }
    }

    /** Draws a service time under the current load and faults, in milliseconds. */
    double serviceMs() {
        double spread;
        synchronized (mRandom) {
            spread = Math.exp(mSettings.serviceSigma() * mRandom.nextGaussian());
        }
        return mSettings.serviceMs() * spread * stretch();
    }

    /** Returns the factor on service times under the current load and faults. */
    double stretch() {
        return mFaults.slowFactor() * mCapacity.slowdown();
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
    Answer withLoad(Answer answer) {
        return mLoad.report().map(load -> answer.with("Upstream-Load", load)).orElse(answer);
    }

    /** Returns true with the given probability. */
    boolean chance(double probability) {
        if (probability <= 0) {
            return false;
        }
        synchronized (mRandom) {
            return mRandom.nextDouble() < probability;
        }
    }
}
