package org.boragethread.entry.placement;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/** Withdrawals of one entry that have overtaken their requests. Not thread-safe. */
final class EarlyWithdrawals {

    /**
     * Withdrawals that are remembered. An entry has fewer requests on their way within the 100 ms
     * after which it withdraws; older ones have arrived.
     */
    private static final int MAX_SIZE = 1024;

    private final Set<Long> mNumbers = new LinkedHashSet<>();

    void add(long number) {
        mNumbers.add(number);
        if (mNumbers.size() > MAX_SIZE) {
            Iterator<Long> eldest = mNumbers.iterator();
            eldest.next();
            eldest.remove();
        }
    }

    /** Returns whether a placement was withdrawn, and forgets it. */
    boolean remove(long number) {
        return mNumbers.remove(number);
    }
}
