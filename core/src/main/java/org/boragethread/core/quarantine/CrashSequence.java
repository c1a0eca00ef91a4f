package org.boragethread.core.quarantine;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Judges the crashes under one suspect. Upstreams that crash at the same time for another reason,
 * such as a failing rack, break off many sound requests at once. A crash is therefore evidence
 * beyond the one before it only if its request was sent when that one was known. This order needs
 * no clocks that agree.
 */
final class CrashSequence {

    /** Length of a sequence of crashes, each known before the next, that is conclusive. */
    private static final int CONCLUSIVE_LENGTH = 3;

    /** Length that is conclusive together with {@link Suspect.Kind#conclusiveCrashes}. */
    private static final int REPEATED_LENGTH = 2;

    private final Suspect.Kind mKind;
    private final Map<String, Set<String>> mPrecedents;
    private final Set<String> mCounted;
    private final Map<String, Integer> mLengths = new HashMap<>();

    /**
     * Creates a sequence.
     *
     * @param kind kind of the suspect, which determines how many crashes are conclusive
     * @param precedents for each crash, those that were known when its request was sent; others
     *     than the keys of the map are ignored
     * @param counted crashes that the suspect may have caused; the others only order them
     */
    CrashSequence(Suspect.Kind kind, Map<String, Set<String>> precedents, Set<String> counted) {
        mKind = kind;
        mPrecedents = precedents;
        mCounted = counted;
    }

    /** Returns the largest number of counted crashes of which each was known before the next. */
    int length() {
        int longest = 0;
        for (String crash : mPrecedents.keySet()) {
            longest = Math.max(longest, lengthUpTo(crash));
        }
        return longest;
    }

    /** Returns the length of the longest sequence that ends with a crash. */
    int lengthUpTo(String crash) {
        Integer known = mLengths.get(crash);
        if (known != null) {
            return known;
        }
        // Ends the recursion if a malformed record made the precedents circular.
        mLengths.put(crash, 0);
        int longest = 0;
        for (String precedent : mPrecedents.get(crash)) {
            if (mPrecedents.containsKey(precedent)) {
                longest = Math.max(longest, lengthUpTo(precedent));
            }
        }
        int length = longest + (mCounted.contains(crash) ? 1 : 0);
        mLengths.put(crash, length);
        return length;
    }

    /** Returns whether the crashes show that the suspect causes them. */
    boolean isConclusive() {
        int length = length();
        return length >= CONCLUSIVE_LENGTH
                || length >= REPEATED_LENGTH && mCounted.size() >= mKind.conclusiveCrashes();
    }

    /** Returns whether the crashes are too many to be a coincidence. */
    boolean isConfirmed() {
        return mCounted.size() >= mKind.confirmedCrashes() && isConclusive();
    }

    /** Returns the number of crashes after those that were needed for the conclusion. */
    int crashesSinceConclusion() {
        return Math.max(0, length() - CONCLUSIVE_LENGTH);
    }
}
