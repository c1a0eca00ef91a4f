package org.boragethread.core.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.boragethread.core.callback.Supervisor;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.upstream.UpstreamId;

/**
 * Tracks the load of all engines of a group and places the requests of all entries. All state is in
 * memory and may be lost; entries then {@link #restore} it. Reports may be late, repeated, lost or
 * about requests that are not known, which then change nothing. Not thread-safe.
 */
public final class PlacementCoordinator {

    /** Maximum age of the engines' states as read from the directory. */
    public static final Duration DIRECTORY_INTERVAL = Duration.ofMillis(20);

    /** Time after which waiting requests are looked at again if nothing else happens. */
    private static final double POLL_MILLIS = 50;

    /** Shortest time between two looks at waiting requests without an event. */
    private static final double MIN_WAKE_MILLIS = 2;

    /**
     * Requests that are looked at for each engine that can be given a prompt. The first one in
     * order may wait for a busy engine that suits it better, so that one request for each engine
     * would leave engines idle.
     */
    private static final int REQUESTS_PER_ENGINE = 2;

    /** Requests that are looked at in addition, so that some that have no room can be passed. */
    private static final int MIN_REQUESTS = 8;

    /** The list of engines can change with every announcement, so a retry may soon succeed. */
    private static final Duration NO_ENGINE_RETRY = Duration.ofSeconds(1);

    /** Only a change of the configuration makes room for such a request, so retries are useless. */
    public static final Duration TOO_LARGE_RETRY = Duration.ofSeconds(30);

    /** Weight of the newest report in the average delay of reports. */
    private static final double REPORT_WEIGHT = 0.05;

    private static final double INITIAL_REPORT_MILLIS = 20;

    private final EngineDirectory mDirectory;
    private final EngineMemory mMemory;
    private final WakeTimer mTimer;
    private final TimeSource mTime;
    private final Supervisor mSupervisor;
    private final EngineTable mEngines = new EngineTable();
    private final PlacedTable mPlaced = new PlacedTable();
    private final PlacementQueue mQueue = new PlacementQueue();
    private final PlacementRate mRate = new PlacementRate();
    private final EngineReservations mReservations = new EngineReservations();
    private final PromptTimes mTimes = new PromptTimes();
    private final EngineCost mCost = new EngineCost(mTimes);
    private final WaitEstimate mWait = new WaitEstimate(mEngines, mQueue, mRate);
    private final OutcomeQueue mOutcomes = new OutcomeQueue();
    private double mReportMillis = INITIAL_REPORT_MILLIS;
    private long mDirectoryReadAt;
    private boolean mDirectoryRead;
    private boolean mBatching;
    private long mNextArrival;
    private long mNextPlaced;
    private double mNextOpenMillis;

    /**
     * Creates a coordinator without load.
     *
     * @param engines engines of the group
     * @param limitMemory whether the tokens of all requests at an engine must fit into its memory
     * @param supervisor told of each callback that threw
     */
    public PlacementCoordinator(
            EngineDirectory engines,
            boolean limitMemory,
            Scheduler scheduler,
            TimeSource time,
            Supervisor supervisor) {
        mDirectory = engines;
        mMemory = new EngineMemory(engines, limitMemory);
        mTimer = new WakeTimer(scheduler, this::onTimer);
        mTime = time;
        mSupervisor = supervisor;
    }

    /**
     * Places a request now or later, or refuses it. A repeated request for a waiting one replaces
     * its listener; one for a placed one gets the same engine again.
     */
    public void place(PlacementRequest request, PlacementListener listener) {
        PlacementRecipient recipient = new PlacementRecipient(mSupervisor.guard(), listener);
        Optional<PlacedRequest> placed = mPlaced.find(request.key());
        if (placed.isPresent()) {
            announce(placed.get(), recipient, Duration.ZERO);
            mOutcomes.deliver();
            return;
        }
        Optional<WaitingRequest> repeated = mQueue.find(request.key());
        if (repeated.isPresent()) {
            repeated.get().recipient().replace(listener);
            return;
        }
        long now = mTime.nanoTime();
        readDirectory(now);
        WaitingRequest waiting = waiting(mMemory.withBoundedOutput(request), recipient, now);
        Optional<PlacementRefusal.Reason> impossible = impossible(waiting.request());
        if (impossible.isPresent()) {
            refuse(waiting, impossible.get(), now);
        } else if (waiting.lastStart() < now) {
            refuse(waiting, PlacementRefusal.Reason.HOPELESS, now);
        } else {
            refuseExpired(now);
            mQueue.add(waiting, now);
            placeWaiting(now);
            refuseIfHopeless(waiting, now);
        }
        finish(now);
    }

    private WaitingRequest waiting(
            PlacementRequest request, PlacementRecipient recipient, long now) {
        mTimes.resetIfOld(now);
        boolean cached = mEngines.isPrefixCached(request.prefixHash());
        long tokens = request.promptTokens() - (cached ? request.prefixTokens() : 0);
        double work = mTimes.expectedMillis(tokens);
        return new WaitingRequest(request, recipient, now, mNextArrival++, work);
    }

    private Optional<PlacementRefusal.Reason> impossible(PlacementRequest request) {
        if (mMemory.isTooLarge(request)) {
            return Optional.of(PlacementRefusal.Reason.TOO_LARGE);
        }
        return mEngines.usable(request).isEmpty()
                ? Optional.of(PlacementRefusal.Reason.NO_ENGINE)
                : Optional.empty();
    }

    private void refuseIfHopeless(WaitingRequest waiting, long now) {
        if (mQueue.find(waiting.request().key()).isEmpty()) {
            return;
        }
        double wait = mWait.waitMillis(waiting, now, mReportMillis);
        if (now + wait * 1e6 > waiting.lastStart()) {
            refuse(waiting, PlacementRefusal.Reason.HOPELESS, now);
        }
    }

    /**
     * Removes a request whose caller has gone, whether it waits or was placed. An engine that was
     * sent a request is assumed to stop it.
     */
    public void withdraw(PlacementKey key) {
        mQueue.remove(key).ifPresent(mReservations::release);
        mPlaced.remove(key).ifPresent(placed -> placed.engine().withdraw(placed, mTime.nanoTime()));
        dispatch();
    }

    /**
     * Removes a placed request that its entry did not send, because it may not use the engine now.
     * The entry then asks again with another attempt, with that engine as unusable.
     */
    public void reject(PlacementKey key) {
        mPlaced.remove(key)
                .ifPresent(placed -> placed.engine().removeNotRun(placed, mTime.nanoTime()));
        dispatch();
    }

    /**
     * Called when the first event of a placed request has come, so that its prompt is processed.
     *
     * @param responseTime time from sending the request to the first event, measured by the entry;
     *     zero if it is not known, because the response is buffered until it is complete
     */
    public void onFirstEvent(PlacementKey key, Duration responseTime) {
        Optional<PlacedRequest> found = mPlaced.find(key);
        if (found.isPresent() && !found.get().isFirstEventSeen()) {
            onProcessed(found.get(), responseTime);
        }
        dispatch();
    }

    private void onProcessed(PlacedRequest placed, Duration responseTime) {
        long now = mTime.nanoTime();
        if (responseTime.isZero()) {
            placed.engine().endPrompt(placed, now);
            mPlaced.markFirstEventSeen(placed);
            return;
        }
        long completedAt = Math.min(now, placed.placedAt() + Math.max(0, responseTime.toNanos()));
        mReportMillis += REPORT_WEIGHT * ((now - completedAt) / 1e6 - mReportMillis);
        OptionalDouble millis = placed.engine().onProcessed(placed, completedAt, now);
        millis.ifPresent(value -> mTimes.add(placed.prefillTokens(), value, now));
        mPlaced.markFirstEventSeen(placed);
    }

    /** Called when the response to a placed request is complete. */
    public void onCompleted(PlacementKey key) {
        mPlaced.find(key).ifPresent(placed -> placed.engine().onSuccess());
        onEnded(key);
    }

    /** Called when a placed request was cancelled. */
    public void onEnded(PlacementKey key) {
        mPlaced.remove(key).ifPresent(placed -> placed.engine().remove(placed, mTime.nanoTime()));
        dispatch();
    }

    /** Called when a placed request has failed at its engine, before or after its first event. */
    public void onFailed(PlacementKey key, PlacementFailure failure) {
        Optional<PlacedRequest> placed = mPlaced.remove(key);
        if (placed.isPresent()) {
            EngineLoad engine = placed.get().engine();
            long now = mTime.nanoTime();
            if (failure == PlacementFailure.REFUSED) {
                engine.removeNotRun(placed.get(), now);
            } else {
                engine.remove(placed.get(), now);
            }
            engine.onFailure(key, failure, now);
        }
        dispatch();
    }

    /** Adds requests that an entry has at engines, after a change of the coordinator. */
    public void restore(Collection<HeldPlacement> placements) {
        readDirectory(mTime.nanoTime());
        for (HeldPlacement held : placements) {
            PlacementKey key = held.request().key();
            Optional<EngineLoad> engine = mEngines.find(held.engine());
            if (engine.isPresent() && mPlaced.find(key).isEmpty()) {
                mQueue.remove(key).ifPresent(mReservations::release);
                PlacementRequest request = mMemory.withBoundedOutput(held.request());
                add(request, engine.get(), held.sentNanos(), held.firstEventSeen());
            }
        }
        dispatch();
    }

    /**
     * Removes the waiting requests of an entry that is gone. Placed ones may still run, so their
     * memory counts until they expire; their prompts say nothing about the engine any more.
     *
     * @param entry run of the entry, as in the keys of its requests
     */
    public void onEntryGone(String entry) {
        for (WaitingRequest waiting : List.copyOf(mQueue.all())) {
            if (waiting.request().key().entry().equals(entry)) {
                mQueue.remove(waiting.request().key());
                mReservations.release(waiting);
            }
        }
        for (PlacedRequest placed : mPlaced.ofEntry(entry)) {
            placed.engine().endPrompt(placed, mTime.nanoTime());
            mPlaced.markFirstEventSeen(placed);
        }
        dispatch();
    }

    /**
     * Sets what is not known of live entries. With limited memory the share of each of them is left
     * free, since what they have still runs.
     *
     * @param unreported live entries that have not restored what they have at engines
     * @param entries all live entries
     */
    public void setUnreported(int unreported, int entries) {
        mMemory.setUnreported(unreported, entries);
        dispatch();
    }

    /** Called when the directory has changed, so that waiting requests may be placed. */
    public void onEnginesChanged() {
        mDirectoryRead = false;
        dispatch();
    }

    /** Returns the number of requests that wait for an engine. */
    public int waiting() {
        return mQueue.size();
    }

    /** Returns the number of requests that are placed and have not ended. */
    public int placed() {
        return mPlaced.size();
    }

    /** Returns the number of requests that are placed at an engine and have not ended. */
    public int placedAt(UpstreamId engine) {
        return mEngines.find(engine).map(EngineLoad::placed).orElse(0);
    }

    /**
     * Runs steps that report to this coordinator, and places requests once after them. A dispatch
     * compares all engines for many requests.
     */
    public void batch(Runnable steps) {
        mBatching = true;
        try {
            steps.run();
        } finally {
            mBatching = false;
            dispatch();
        }
    }

    private void dispatch() {
        if (mBatching) {
            return;
        }
        long now = mTime.nanoTime();
        dropExpired(now);
        refuseExpired(now);
        if (mQueue.size() > 0) {
            readDirectory(now);
            placeWaiting(now);
        }
        finish(now);
    }

    private void finish(long now) {
        // What is placed while reports are awaited says nothing about the engines.
        mRate.update(mQueue.size() > 0 && !mMemory.isHeldBack(), now);
        scheduleWake(now);
        mOutcomes.deliver();
    }

    private void readDirectory(long now) {
        if (mDirectoryRead && now - mDirectoryReadAt < DIRECTORY_INTERVAL.toNanos()) {
            return;
        }
        mDirectoryRead = true;
        mDirectoryReadAt = now;
        if (mEngines.update(mDirectory.engines())) {
            mReservations.retainUsable(mEngines);
            refuseWithoutEngine(now);
        }
    }

    private void refuseWithoutEngine(long now) {
        List<WaitingRequest> without = new ArrayList<>();
        for (WaitingRequest waiting : mQueue.all()) {
            if (mEngines.usable(waiting.request()).isEmpty()) {
                without.add(waiting);
            }
        }
        without.forEach(waiting -> refuse(waiting, PlacementRefusal.Reason.NO_ENGINE, now));
    }

    /** Places waiting requests in order until no engine can be given a prompt. */
    private void placeWaiting(long now) {
        while (mQueue.size() > 0) {
            EngineChoice choice = choice(now);
            mNextOpenMillis = choice.nextOpenMillis();
            if (choice.open() == 0 || !placeFirst(choice, now)) {
                return;
            }
        }
    }

    private EngineChoice choice(long now) {
        return new EngineChoice(
                mEngines,
                mReservations,
                mCost,
                mMemory.available(),
                mMemory.isLimited(),
                now,
                mReportMillis);
    }

    /** Places the first waiting request whose cheapest engine can be given a prompt now. */
    private boolean placeFirst(EngineChoice choice, long now) {
        int maxSize = MIN_REQUESTS + REQUESTS_PER_ENGINE * choice.open();
        Optional<WaitingRequest> turn = mQueue.turn(choice::isServable);
        for (WaitingRequest waiting : mQueue.inOrder(now, maxSize, turn)) {
            boolean isTurn = turn.isPresent() && turn.get() == waiting;
            Optional<EngineChoice.Candidate> candidate = choice.choose(waiting, isTurn);
            if (candidate.isEmpty()) {
                List<EngineLoad> suitable = choice.enginesToReserve(waiting);
                mReservations.reserve(suitable, waiting, mEngines.listed().size(), isTurn, now);
            } else if (candidate.get().open()) {
                place(waiting, candidate.get(), isTurn, now);
                return true;
            } else {
                choice.await(candidate.get(), waiting);
            }
        }
        return false;
    }

    private void place(
            WaitingRequest waiting, EngineChoice.Candidate candidate, boolean isTurn, long now) {
        EngineLoad engine = candidate.engine();
        mQueue.removePlaced(waiting, isTurn);
        mReservations.release(waiting);
        mRate.add(waiting.workMillis());
        Duration waited = Duration.ofNanos(now - waiting.arrivedAt());
        announce(add(waiting.request(), engine, now, false), waiting.recipient(), waited);
    }

    private PlacedRequest add(
            PlacementRequest request, EngineLoad engine, long at, boolean firstEventSeen) {
        double tokens = EngineCost.prefillTokens(engine, request);
        double work = mTimes.expectedMillis(tokens);
        PlacedRequest placed = new PlacedRequest(request, engine, work, tokens, at, mNextPlaced++);
        if (firstEventSeen) {
            placed.markFirstEventSeen();
        }
        engine.add(placed, mDirectory.limits());
        mPlaced.add(placed);
        return placed;
    }

    private void announce(PlacedRequest placed, PlacementRecipient recipient, Duration waited) {
        double millis = placed.engine().remainingMillis(mTime.nanoTime(), mReportMillis);
        Placement placement =
                new Placement(
                        placed.request().key(),
                        placed.engine().status().id(),
                        waited,
                        Duration.ofNanos((long) (millis * 1e6)),
                        placed.request().prefixHash() != 0 && !placed.isPrefixAdded());
        mOutcomes.add(() -> recipient.notify(listener -> listener.onPlaced(placement)));
    }

    private void refuse(WaitingRequest waiting, PlacementRefusal.Reason reason, long now) {
        mQueue.remove(waiting.request().key());
        mReservations.release(waiting);
        Duration retryAfter =
                switch (reason) {
                    case NO_ENGINE -> NO_ENGINE_RETRY;
                    case TOO_LARGE -> TOO_LARGE_RETRY;
                    default -> mWait.retryAfter(waiting, now, mReportMillis);
                };
        PlacementRefusal refusal =
                new PlacementRefusal(
                        waiting.request().key(),
                        reason,
                        retryAfter,
                        Duration.ofNanos(now - waiting.arrivedAt()));
        mOutcomes.add(() -> waiting.recipient().notify(listener -> listener.onRefused(refusal)));
    }

    private void refuseExpired(long now) {
        Optional<WaitingRequest> expired = mQueue.firstExpired(now);
        while (expired.isPresent()) {
            refuse(expired.get(), PlacementRefusal.Reason.EXPIRED, now);
            expired = mQueue.firstExpired(now);
        }
    }

    /**
     * Drops what no report was received about in time. A prompt counts as processed at the deadline
     * of the first event; the memory of the request is released when it has certainly ended.
     */
    private void dropExpired(long now) {
        Optional<PlacedRequest> expired = mPlaced.firstExpired(now);
        while (expired.isPresent()) {
            PlacedRequest placed = expired.get();
            if (placed.isFirstEventSeen()) {
                mPlaced.remove(placed.request().key());
                placed.engine().remove(placed, now);
            } else {
                placed.engine().dropPrompt(placed, now);
                mPlaced.markFirstEventSeen(placed);
            }
            expired = mPlaced.firstExpired(now);
        }
    }

    private void scheduleWake(long now) {
        long next = Long.MAX_VALUE;
        if (mPlaced.nextExpiry().isPresent()) {
            next = Math.min(next, mPlaced.nextExpiry().getAsLong());
        }
        if (mQueue.size() > 0) {
            double open = Math.max(MIN_WAKE_MILLIS, mNextOpenMillis);
            next = Math.min(next, now + (long) (Math.min(POLL_MILLIS, open) * 1e6));
            next = Math.min(next, mQueue.nextExpiry().getAsLong());
        }
        if (next != Long.MAX_VALUE) {
            mTimer.wakeAt(next, now);
        }
    }

    private void onTimer() {
        // Without another timer, requests would wait for ever if no message comes.
        mSupervisor.run(this::dispatch, () -> scheduleWake(mTime.nanoTime()));
    }
}
