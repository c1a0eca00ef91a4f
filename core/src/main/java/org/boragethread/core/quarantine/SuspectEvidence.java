package org.boragethread.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The crashes under one suspect, without those that are refuted. Not thread-safe. */
final class SuspectEvidence {

    /** Further crashes are not kept; the evidence has long been conclusive then. */
    private static final int MAX_CRASHES = 64;

    private static final int MAX_REFUTED = 512;

    /** Precedents in a report; the longest sequences matter. */
    private static final int MAX_PRECEDENTS = 4;

    private final Map<String, Set<String>> mPrecedents = new LinkedHashMap<>();
    private final Map<String, Long> mLearned = new HashMap<>();
    private final Set<String> mRefuted = new HashSet<>();
    private final Set<String> mRefutedHere = new HashSet<>();
    private String mFirstReporter = "";
    private long mLastCrashNanos;
    private final Suspect.Kind mKind;
    private CrashSequence mSequence;
    private CrashSequence mReportedSequence;

    /** Creates evidence without crashes against a suspect of a kind. */
    SuspectEvidence(Suspect.Kind kind, long nowNanos) {
        mKind = kind;
        mLastCrashNanos = nowNanos;
        judge();
    }

    /**
     * Adds a crash, or what another process saw of it.
     *
     * @param learned number of the report, in the order in which this process learned of them
     * @param crashedAtNanos monotonic time of the crash
     */
    void add(
            String crash,
            String reporter,
            Set<String> precedents,
            long learned,
            long crashedAtNanos) {
        if (mPrecedents.isEmpty()) {
            mFirstReporter = reporter;
            mLastCrashNanos = crashedAtNanos;
        }
        mLastCrashNanos = Math.max(mLastCrashNanos, crashedAtNanos);
        if (!mPrecedents.containsKey(crash) && mPrecedents.size() >= MAX_CRASHES) {
            return;
        }
        mPrecedents.computeIfAbsent(crash, key -> new HashSet<>()).addAll(precedents);
        mLearned.putIfAbsent(crash, learned);
        judge();
    }

    /** Returns the crashes of which this process knew when it had learned of so many reports. */
    Set<String> crashesKnownAt(long learned) {
        Set<String> known = crashes();
        known.removeIf(crash -> mLearned.get(crash) > learned);
        return known;
    }

    /** Removes crashes that another process has refuted. */
    void refute(Set<String> crashes) {
        if (mRefuted.size() < MAX_REFUTED) {
            mRefuted.addAll(crashes);
            judge();
        }
    }

    /** Removes crashes that this process has refuted and may not have reported yet. */
    void refuteHere(Set<String> crashes) {
        if (mRefutedHere.size() < MAX_REFUTED) {
            mRefutedHere.addAll(crashes);
            judge();
        }
    }

    private void judge() {
        mReportedSequence = sequence(without(mRefuted));
        mSequence = sequence(crashes());
    }

    private Set<String> without(Set<String> refuted) {
        Set<String> rest = new HashSet<>(mPrecedents.keySet());
        rest.removeAll(refuted);
        return rest;
    }

    Suspect.Kind kind() {
        return mKind;
    }

    /** Returns the sequence of all crashes that are not refuted. */
    CrashSequence sequence() {
        return mSequence;
    }

    /** Returns the sequence of some of the crashes. */
    CrashSequence sequence(Set<String> crashes) {
        return new CrashSequence(mKind, mPrecedents, crashes);
    }

    /** Returns the crashes that are not refuted. */
    Set<String> crashes() {
        Set<String> crashes = without(mRefuted);
        crashes.removeAll(mRefutedHere);
        return crashes;
    }

    /** Returns whether this process knows crashes to be refuted that others still count. */
    boolean hasUnreportedRefutations() {
        return !mRefuted.containsAll(mRefutedHere);
    }

    /** Returns the crashes that this process has refuted. */
    Set<String> refutedHere() {
        return Set.copyOf(mRefutedHere);
    }

    /** Returns the length of the sequence as the other processes see it. */
    int reportedLength() {
        return mReportedSequence.length();
    }

    /** Returns the crashes that a request which is sent now follows. */
    Set<String> precedentsOfNextCrash() {
        List<String> crashes = new ArrayList<>(mPrecedents.keySet());
        crashes.sort(Comparator.comparingInt(mSequence::lengthUpTo).reversed());
        return Set.copyOf(crashes.subList(0, Math.min(MAX_PRECEDENTS, crashes.size())));
    }

    String firstReporter() {
        return mFirstReporter;
    }

    long lastCrashNanos() {
        return mLastCrashNanos;
    }
}
