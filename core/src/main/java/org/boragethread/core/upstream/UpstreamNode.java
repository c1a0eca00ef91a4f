package org.boragethread.core.upstream;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.SoftwareVersion;

/** What this process knows about one upstream. Not thread-safe. */
public final class UpstreamNode {

    /** Time for which an upstream is avoided after a failure; doubles with each further failure. */
    private static final long INITIAL_AVOIDANCE_NANOS = Duration.ofMillis(300).toNanos();

    private static final int MAX_DOUBLINGS = 4;

    /** Time in which an upstream that has started again announces it. */
    private static final long RENEWAL_NANOS = UpstreamDirectory.RENEWAL_GRACE.toNanos();

    /** Weight of the newest sample in the moving average of the slowness. */
    private static final double SAMPLE_WEIGHT = 0.2;

    private static final double MAX_SLOWNESS = 20;

    /** Bounds of the reported time factor; a value beyond them is a fault of the report. */
    private static final double MIN_TIME_FACTOR = 0.2;

    private static final double MAX_TIME_FACTOR = 20;

    /**
     * Time after which half of a reported deviation is assumed to be over. The speed of an upstream
     * changes many times a second.
     */
    private static final double REPORT_HALF_LIFE_NANOS = 2e8;

    private final ColdRateLimit mColdRateLimit = new ColdRateLimit();
    private final ResultMemory mResultMemory = new ResultMemory();
    private final PromptLoad mPromptLoad = new PromptLoad();
    private final NamedRateLimit mNamedRateLimit = new NamedRateLimit();
    private final RefusalMark mRefusal = new RefusalMark();
    private UpstreamAnnouncement mEntry;
    private long mFirstSeenAt;
    private long mLatestStart = Long.MIN_VALUE;
    private long mColdUntil = Long.MIN_VALUE;
    private long mAvoidUntil = Long.MIN_VALUE;
    private long mBusyUntil = Long.MIN_VALUE;
    private long mRemovedAt = Long.MAX_VALUE;
    private long mPausedUntil = Long.MIN_VALUE;
    private boolean mLeaving;
    private Optional<Long> mDoubtedAt = Optional.empty();
    private Optional<Long> mConfirmedAt = Optional.empty();
    private boolean mListed = true;
    private int mConsecutiveFailures;
    private int mInFlight;
    private double mSlowness = 1;
    private double mTimeFactor = 1;
    private long mTimeFactorAt;

    UpstreamNode(UpstreamAnnouncement entry, long now) {
        mEntry = entry;
        mFirstSeenAt = now;
        mTimeFactorAt = now;
        update(entry, now);
    }

    void update(UpstreamAnnouncement entry, long now) {
        boolean isLaterRun = isLaterRun(entry);
        boolean isOtherRun =
                !entry.isSameIncarnation(mEntry)
                        || !entry.softwareVersion().equals(mEntry.softwareVersion());
        if (isOtherRun) {
            mConfirmedAt = Optional.empty();
        }
        if (isOtherRun || !mListed) {
            mRefusal.clear(now);
        }
        if (isEarlierRun(entry)) {
            mDoubtedAt = Optional.of(now);
        } else if (isLaterRun || !entry.isSameIncarnation(mEntry)) {
            mDoubtedAt = Optional.empty();
        }
        if (isLaterRun) {
            mLatestStart = Long.MIN_VALUE;
            mFirstSeenAt = now;
            mAvoidUntil = Long.MIN_VALUE;
            mBusyUntil = Long.MIN_VALUE;
            mPausedUntil = Long.MIN_VALUE;
            mLeaving = false;
            mConsecutiveFailures = 0;
            mSlowness = 1;
            mTimeFactor = 1;
            mPromptLoad.clearPrefixes();
            mNamedRateLimit.clear();
        }
        mLatestStart = Math.max(mLatestStart, entry.startedMillis().orElse(mLatestStart));
        mEntry = entry;
        mLeaving |= entry.draining();
        mRemovedAt = Long.MAX_VALUE;
        mListed = true;
        if (entry.coldMillis() > 0) {
            mColdUntil = now + Duration.ofMillis(entry.coldMillis()).toNanos();
        }
    }

    /** Returns whether an announcement is of an earlier run than one that was known before. */
    private boolean isEarlierRun(UpstreamAnnouncement entry) {
        return hasSameAddress(entry) && entry.startedMillis().orElse(mLatestStart) < mLatestStart;
    }

    /**
     * Returns whether an announcement is of a run that was not known before. An older copy of the
     * store may bring back the announcement of an earlier one while the latest still runs.
     */
    private boolean isLaterRun(UpstreamAnnouncement entry) {
        boolean isLater =
                mLatestStart != Long.MIN_VALUE
                        && entry.startedMillis().orElse(mLatestStart) > mLatestStart;
        return !hasSameAddress(entry) || isLater;
    }

    private boolean hasSameAddress(UpstreamAnnouncement entry) {
        return entry.address().equals(mEntry.address());
    }

    /** Returns the latest announcement. */
    public UpstreamAnnouncement entry() {
        return mEntry;
    }

    /**
     * Returns the version of the software that runs; empty if it is not announced, or if the
     * upstream may have started again with another one that is not announced yet.
     */
    public Optional<SoftwareVersion> softwareVersion() {
        return mDoubtedAt.isPresent() ? Optional.empty() : mEntry.softwareVersion();
    }

    /**
     * Records that the announcement may be outdated, because the upstream refused a connection or
     * the announcement comes from an older copy of the store.
     */
    public void doubtRun(long now) {
        mDoubtedAt = Optional.of(now);
    }

    /** Returns when the announcement became doubtful; empty if it is not. */
    public Optional<Long> doubtedAt() {
        return mDoubtedAt;
    }

    /**
     * Called when no announcement of another run had been written at a time. An upstream that is
     * not announced at present is not confirmed.
     *
     * @param at monotonic time in nanoseconds
     */
    void confirmRun(long at) {
        if (mRemovedAt != Long.MAX_VALUE) {
            return;
        }
        if (!isEarlierRun(mEntry)) {
            mConfirmedAt = Optional.of(at);
        }
        mDoubtedAt = mDoubtedAt.filter(doubtedAt -> at - doubtedAt < RENEWAL_NANOS);
    }

    /**
     * Returns whether the latest announcement is known to be that of the run at a time.
     *
     * @param doubtedAt monotonic time in nanoseconds
     */
    boolean isConfirmedSince(long doubtedAt) {
        return mConfirmedAt.filter(at -> at - doubtedAt >= RENEWAL_NANOS).isPresent();
    }

    /**
     * Returns whether the latest announcement was still the latest one at a time.
     *
     * @param at monotonic time in nanoseconds
     */
    boolean isReadSince(long at) {
        return mConfirmedAt.filter(confirmedAt -> confirmedAt - at >= 0).isPresent();
    }

    /** Records that the upstream was removed from the directory. */
    void delist() {
        mListed = false;
    }

    /** Returns whether the upstream is in the directory. */
    boolean isListed() {
        return mListed;
    }

    /** Returns the milliseconds since this run of the upstream was first announced. */
    public long ageMillis(long now) {
        return Duration.ofNanos(now - mFirstSeenAt).toMillis();
    }

    /**
     * Returns whether the upstream has said, in an announcement or a response, that it is leaving.
     * An upstream that leaves does not come back, so only a restart ends this; an announcement that
     * says otherwise is an older one.
     */
    public boolean isLeaving() {
        return mLeaving;
    }

    /** Records a response in which the upstream says that it is leaving. */
    public void markLeaving() {
        mLeaving = true;
    }

    /** Records that the upstream accepts no call of this process until the given time. */
    public void pauseUntil(long nanos) {
        mPausedUntil = Math.max(mPausedUntil, nanos);
    }

    /** Returns the remaining time in which the upstream accepts no call of this process. */
    public Duration pauseTime(long now) {
        return timeUntil(mPausedUntil, now);
    }

    /** Returns whether the upstream accepts no call of this process now. */
    public boolean isPaused(long now) {
        return now < mPausedUntil;
    }

    /** Schedules the removal of the upstream, because its announcement has ended. */
    void removeAt(long nanos) {
        mRemovedAt = Math.min(mRemovedAt, nanos);
    }

    /** Returns whether the scheduled time of removal has come. */
    boolean isRemovalDue(long now) {
        return now >= mRemovedAt;
    }

    /** Returns whether calls are likely to fail now. */
    public boolean isAvoided(long now) {
        return now < avoidedUntil();
    }

    public long avoidedUntil() {
        return Math.max(mAvoidUntil, mRefusal.retryAt());
    }

    /** Returns whether the upstream refused the latest connection to it that had a result. */
    public boolean isRefusing() {
        return mRefusal.isSet();
    }

    /**
     * Returns whether the upstream refuses connections and is not to be tried again yet, as long as
     * there is another one.
     */
    public boolean isHeldBack(long now) {
        return now < mRefusal.retryAt();
    }

    /** Returns whether the upstream has just started and can take only little load. */
    public boolean isCold(long now) {
        return now < mColdUntil;
    }

    /**
     * Returns whether this process may send one more call while the upstream is cold.
     *
     * @param calls calls that this process may send within {@link ColdRateShare#WINDOW}
     */
    boolean isColdCallAllowed(int calls, long now) {
        return mColdRateLimit.isAllowed(calls, now);
    }

    /** Returns the number of unfinished calls of this process. */
    public int inFlight() {
        return mInFlight;
    }

    public ResultMemory resultMemory() {
        return mResultMemory;
    }

    public PromptLoad prompts() {
        return mPromptLoad;
    }

    /** Returns the rate limit that the upstream names in its responses. */
    public NamedRateLimit namedRateLimit() {
        return mNamedRateLimit;
    }

    /** Returns the average response time as a multiple of the expected time. */
    public double slowness() {
        return mSlowness;
    }

    /**
     * Records how long work takes at the upstream at this moment, as the upstream reports it.
     *
     * @param factor multiple of the usual time
     */
    public void reportTimeFactor(double factor, long now) {
        mTimeFactor = Math.max(MIN_TIME_FACTOR, Math.min(MAX_TIME_FACTOR, factor));
        mTimeFactorAt = now;
    }

    /**
     * Returns how long work probably takes at the upstream now, as a multiple of the usual time.
     * The latest report counts the less, the older it is.
     */
    public double timeFactor(long now) {
        double weight = Math.pow(0.5, (now - mTimeFactorAt) / REPORT_HALF_LIFE_NANOS);
        return 1 + weight * (mTimeFactor - 1);
    }

    /**
     * Returns the time until which calls of other processes are expected to occupy the upstream.
     */
    public long busyUntil() {
        return mBusyUntil;
    }

    /** Returns the time for which calls of other processes are expected to occupy it from now. */
    public Duration busyTime(long now) {
        return timeUntil(mBusyUntil, now);
    }

    private static Duration timeUntil(long end, long now) {
        return now < end ? Duration.ofNanos(end - now) : Duration.ZERO;
    }

    public void setBusyUntil(long nanos) {
        mBusyUntil = nanos;
    }

    /** Counts a call that is being sent and occupies the upstream until it ends. */
    public void onSent(long now) {
        mInFlight++;
        mColdRateLimit.onSent(now);
        mRefusal.onSent(now);
        onShortCallSent(now);
    }

    /** Counts a call that is being sent and hardly occupies the upstream. */
    public void onShortCallSent(long now) {
        mNamedRateLimit.onSent(now);
    }

    /** Counts the end of a call, successful or not. */
    public void onEnded() {
        mInFlight--;
    }

    /**
     * Records a successful response.
     *
     * @param slowness response time as a multiple of the expected time
     */
    public void onSuccess(double slowness) {
        mConsecutiveFailures = 0;
        double sample = Math.min(MAX_SLOWNESS, Math.max(0.2, slowness));
        mSlowness += SAMPLE_WEIGHT * (sample - mSlowness);
    }

    /**
     * Records a call that failed or got no response.
     *
     * @param restarted whether the upstream may have restarted
     * @param coldTime time for which it is cold after a restart
     */
    public void onFailure(long now, boolean restarted, Duration coldTime) {
        long avoidance = INITIAL_AVOIDANCE_NANOS << Math.min(MAX_DOUBLINGS, mConsecutiveFailures);
        mConsecutiveFailures++;
        mAvoidUntil = Math.max(mAvoidUntil, now + avoidance);
        if (restarted) {
            mColdUntil = Math.max(mColdUntil, mAvoidUntil + coldTime.toNanos());
        }
    }

    /**
     * Records that the upstream refused a connection.
     *
     * @param calledAt when the connection attempt began
     * @param coldTime time for which the upstream is cold after a restart
     */
    public void onConnectionRefused(long calledAt, long now, Duration coldTime) {
        mRefusal.onRefused(calledAt, now);
        if (!coldTime.isZero() && mRefusal.isSet()) {
            mColdUntil = Math.max(mColdUntil, mRefusal.retryAt() + coldTime.toNanos());
        }
    }

    /** Records that the upstream accepted a connection. */
    public void onConnected(long now) {
        if (mRefusal.isSet()) {
            mRefusal.clear(now);
        }
    }

    /**
     * Records that the upstream responded, perhaps on a connection that existed before.
     *
     * @param sentAt when the call was sent; a response to one that was sent before the latest
     *     refusal does not show that the upstream is running
     */
    public void onResponded(long sentAt, long now) {
        if (mRefusal.precedes(sentAt)) {
            onConnected(now);
        }
    }

    /** Avoids the upstream for a while, because another process responded at its address. */
    public void avoidUntil(long nanos) {
        mAvoidUntil = Math.max(mAvoidUntil, nanos);
    }
}
