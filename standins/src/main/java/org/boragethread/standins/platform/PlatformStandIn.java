package org.boragethread.standins.platform;

import java.io.IOException;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.boragethread.standins.http.StandInServer;
import org.boragethread.standins.platform.AppendRequest.NewRecord;

/** In-memory append-only log and VM list of the platform, with configurable faults. */
public final class PlatformStandIn implements AutoCloseable {

    private static final int SELECTORS = 2;

    private final PlatformSettings mSettings;
    private final Clock mClock;
    private final Map<String, RecordStream> mStreams = new ConcurrentHashMap<>();
    private final VmList mVms = new VmList();
    private final AppendRateLimiter mAppendRate = new AppendRateLimiter();
    private final SplittableRandom mRandom;
    private final ScheduledExecutorService mTimer;
    private final StandInServer mServer;
    private final LongAdder mAppends = new LongAdder();
    private final LongAdder mRecords = new LongAdder();
    private final LongAdder mRejectedAppends = new LongAdder();
    private final LongAdder mLostResponses = new LongAdder();
    private final LongAdder mReads = new LongAdder();
    private final LongAdder mAppendBytes = new LongAdder();
    private final LongAdder mReadBytes = new LongAdder();
    private volatile PlatformFaults mFaults = PlatformFaults.NONE;

    private PlatformStandIn(PlatformSettings settings, Clock clock) {
        mSettings = settings;
        mClock = clock;
        mRandom = new SplittableRandom(settings.seed());
        mTimer = Executors.newSingleThreadScheduledExecutor(this::timerThread);
        mServer = new StandInServer("platform", SELECTORS, new PlatformHandler(this));
    }

    /**
     * Starts a stand-in.
     *
     * @param clock clock that timestamps appends and expires records
     * @throws IOException if the port cannot be bound
     */
    public static PlatformStandIn start(PlatformSettings settings, Clock clock) throws IOException {
        PlatformStandIn platform = new PlatformStandIn(settings, clock);
        platform.mServer.start(settings.port());
        return platform;
    }

    /** Returns the address as {@code host:port}. */
    public String address() {
        return mServer.address();
    }

    /** Returns the current faults. */
    public PlatformFaults faults() {
        return mFaults;
    }

    /** Replaces the faults. Waiting reads are answered at once, under the new faults. */
    public void setFaults(PlatformFaults faults) {
        mFaults = faults;
        mStreams.values().forEach(RecordStream::wakeReaders);
    }

    /** Replaces the VM list; readers see it after the configured lag. */
    public void setVms(List<Vm> vms) {
        mVms.set(vms, mClock.millis());
    }

    /** Drops all records of a stream below an offset, as if they had expired. */
    public void expireBefore(String stream, long offset) {
        stream(stream).expireBefore(offset);
    }

    /** Returns all retained records of a stream. */
    public List<StoredRecord> records(String stream) {
        long now = mClock.millis();
        long first = stream(stream).read(Long.MAX_VALUE, 0, now).first();
        return stream(stream).read(first, Integer.MAX_VALUE, now).records();
    }

    /** Returns the counters since the start. */
    public PlatformStats stats() {
        return new PlatformStats(
                mAppends.sum(),
                mRecords.sum(),
                mRejectedAppends.sum(),
                mLostResponses.sum(),
                mReads.sum(),
                mAppendBytes.sum(),
                mReadBytes.sum());
    }

    /** Refuses new connections and closes the open ones; all records are retained. */
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
        mTimer.shutdownNow();
    }

    RecordStream stream(String name) {
        return mStreams.computeIfAbsent(
                name,
                key -> new RecordStream(mSettings.retentionMs(), mSettings.retentionRecords()));
    }

    VmList.Snapshot vms() {
        return mVms.read(mClock.millis(), mFaults.vmLagMs());
    }

    boolean tryAcquireAppend() {
        boolean allowed = mAppendRate.tryAcquire(mFaults.appendsPerSecond(), mClock.millis());
        if (!allowed) {
            mRejectedAppends.increment();
        }
        return allowed;
    }

    List<Long> append(String stream, List<NewRecord> records, int bytes) {
        mAppends.increment();
        mRecords.add(records.size());
        mAppendBytes.add(bytes);
        return stream(stream).append(records, mClock.millis());
    }

    ReadResult read(String stream, long from, int max) {
        return stream(stream).read(from, max, mClock.millis());
    }

    void countRead(int bytes) {
        mReads.increment();
        mReadBytes.add(bytes);
    }

    void countLostResponse() {
        mLostResponses.increment();
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

    void runAfter(long delayMs, Runnable action) {
        if (delayMs <= 0) {
            action.run();
        } else {
            mTimer.schedule(action, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private Thread timerThread(Runnable task) {
        Thread thread = new Thread(task, "platform-timer");
        thread.setDaemon(true);
        return thread;
    }
}
