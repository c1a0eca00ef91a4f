package org.boragethread.core.record;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.boragethread.core.time.ManualTimeSource;

/** The platform's log in memory, with faults drawn from a seed. */
public final class SimLog {

    private static final int MAX_LATE_MILLIS = 8_000;

    private final ManualTimeSource mTime;
    private final Random mRandom;
    private final Map<String, List<Record>> mStreams = new HashMap<>();
    private final Map<String, Long> mFirst = new HashMap<>();
    private double mFaults;
    private boolean mIsDown;

    public SimLog(ManualTimeSource time, Random random) {
        mTime = time;
        mRandom = random;
    }

    /** Sets the share of appends that fail in some way, from 0 to 1. */
    public void setFaults(double share) {
        mFaults = share;
    }

    public void setDown(boolean isDown) {
        mIsDown = isDown;
    }

    public List<Record> records(String stream) {
        return mStreams.computeIfAbsent(stream, s -> new ArrayList<>());
    }

    public long first(String stream) {
        return mFirst.getOrDefault(stream, 0L);
    }

    /** Drops the records before an offset. */
    public void expireBefore(String stream, long offset) {
        mFirst.put(stream, offset);
    }

    long append(String stream, String id, byte[] data) {
        List<Record> records = records(stream);
        records.add(new Record(records.size(), mTime.millis(), id, data));
        return records.size() - 1;
    }

    /** Draws how one append call ends. */
    Fate nextFate() {
        if (mIsDown) {
            return Fate.REFUSED;
        }
        if (mRandom.nextDouble() >= mFaults) {
            return Fate.GOOD;
        }
        return Fate.values()[mRandom.nextInt(Fate.values().length)];
    }

    Duration delay() {
        return Duration.ofMillis(2 + mRandom.nextInt(10));
    }

    Duration lateDelay() {
        return Duration.ofMillis(mRandom.nextInt(MAX_LATE_MILLIS));
    }

    ManualTimeSource time() {
        return mTime;
    }

    enum Fate {
        GOOD,
        REFUSED,
        ANSWER_LOST,
        LATE,
        DOUBLED
    }

    /** A record with its log time. */
    public record Record(long offset, long timeMillis, String id, byte[] data) {}
}
