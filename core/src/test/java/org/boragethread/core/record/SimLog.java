package org.boragethread.core.record;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.boragethread.core.time.ManualTimeSource;

/** Simulated in-memory log of the platform, with faults drawn from a seeded random generator. */
public final class SimLog {

    private static final int MAX_LONG_DELAY_MILLIS = 8_000;

    private final ManualTimeSource mTime;
    private final Random mRandom;
    private final Map<String, List<Record>> mStreams = new HashMap<>();
    private final Map<String, Long> mFirstOffsets = new HashMap<>();
    private double mFaultProbability;
    private boolean mIsUnavailable;

    public SimLog(ManualTimeSource time, Random random) {
        mTime = time;
        mRandom = random;
    }

    /** Sets the probability that an append is subject to a random fault, from 0 to 1. */
    public void setFaultProbability(double probability) {
        mFaultProbability = probability;
    }

    public void setUnavailable(boolean isUnavailable) {
        mIsUnavailable = isUnavailable;
    }

    public List<Record> records(String stream) {
        return mStreams.computeIfAbsent(stream, s -> new ArrayList<>());
    }

    public long firstOffset(String stream) {
        return mFirstOffsets.getOrDefault(stream, 0L);
    }

    /** Makes the records before an offset unreadable. */
    public void expireBefore(String stream, long offset) {
        mFirstOffsets.put(stream, offset);
    }

    long append(String stream, String id, byte[] data) {
        List<Record> records = records(stream);
        records.add(new Record(records.size(), mTime.millis(), id, data));
        return records.size() - 1;
    }

    /** Draws the fault of the next append. */
    AppendFault nextFault() {
        if (mIsUnavailable) {
            return AppendFault.REFUSED;
        }
        if (mRandom.nextDouble() >= mFaultProbability) {
            return AppendFault.NONE;
        }
        return AppendFault.values()[mRandom.nextInt(AppendFault.values().length)];
    }

    Duration randomDelay() {
        return Duration.ofMillis(2 + mRandom.nextInt(10));
    }

    Duration randomLongDelay() {
        return Duration.ofMillis(mRandom.nextInt(MAX_LONG_DELAY_MILLIS));
    }

    ManualTimeSource time() {
        return mTime;
    }

    enum AppendFault {
        NONE,
        REFUSED,
        ANSWER_LOST,
        DELAYED,
        DUPLICATED
    }

    /** A record with its log time. */
    public record Record(long offset, long timeMillis, String id, byte[] data) {}
}
