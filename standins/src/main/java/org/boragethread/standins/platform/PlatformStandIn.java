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

/** The platform's append-only log and VM list in memory, with faults on command. */
public final class PlatformStandIn implements AutoCloseable {

    private static final int SELECTORS = 2;

    private final PlatformSettings mSettings;
    private final Clock mClock;
    private final Map<String, RecordStream> mStreams = new ConcurrentHashMap<>();
    private final VmList mVms = new VmList();
    private final AppendRate mRate = new AppendRate();
    private final SplittableRandom mRandom;
    private final ScheduledExecutorService mTimer;
    private final StandInServer mServer;
    private final LongAdder mAppends = new LongAdder();
    private final LongAdder mRecords = new LongAdder();
    private final LongAdder mRefused = new LongAdder();
    private final LongAdder mLost = new LongAdder();
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
     * @param clock time of appends and of retention
     * @throws IOException if the port cannot be bound
     */
    public static PlatformStandIn start(PlatformSettings settings, Clock clock) throws IOException {
        PlatformStandIn platform = new PlatformStandIn(settings, clock);
        platform.mServer.start(settings.port());
        return platform;
    }

    /** Returns host and port as one text. */
    public String address() {
        return mServer.address();
    }

    /** Returns the present faults. */
    public PlatformFaults faults() {
        return mFaults;
    }

    /** Replaces the faults. Waiting readers are answered under the new ones. */
    public void setFaults(PlatformFaults faults) {
        mFaults = faults;
        mStreams.values().forEach(RecordStream::wake);
    }

    /** Replaces the list of machines; readers see it after the lag. */
    public void setVms(List<Vm> vms) {
        mVms.set(vms, mClock.millis());
    }

    /** Expires all records of a stream below an offset. */
    public void expireBefore(String stream, long offset) {
        stream(stream).expireBefore(offset);
    }

    /** Returns all kept records of a stream. */
    public List<StoredRecord> records(String stream) {
        long now = mClock.millis();
        long first = stream(stream).read(Long.MAX_VALUE, 0, now).first();
        return stream(stream).read(first, Integer.MAX_VALUE, now).records();
    }

    /** Returns counts since the start. */
    public PlatformStats stats() {
        return new PlatformStats(
                mAppends.sum(),
                mRecords.sum(),
                mRefused.sum(),
                mLost.sum(),
                mReads.sum(),
                mAppendBytes.sum(),
                mReadBytes.sum());
    }

    /** Refuses new connections and closes the present ones, keeping all records. */
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

    boolean tryAppend() {
        boolean taken = mRate.tryTake(mFaults.appendsPerSecond(), mClock.millis());
        if (!taken) {
            mRefused.increment();
        }
        return taken;
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

    void countLostAnswer() {
        mLost.increment();
    }

    boolean chance(double share) {
        if (share <= 0) {
            return false;
        }
        synchronized (mRandom) {
            return mRandom.nextDouble() < share;
        }
    }

    void after(long delayMs, Runnable action) {
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
