package org.boragethread.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The VM list; readers see it with a configurable lag. */
final class VmList {

    private final Deque<Snapshot> mSnapshots = new ArrayDeque<>();

    VmList() {
        mSnapshots.add(new Snapshot(0, List.of()));
    }

    /** Replaces the list. */
    synchronized void set(List<Vm> vms, long nowMs) {
        mSnapshots.addLast(new Snapshot(nowMs, List.copyOf(vms)));
    }

    /** Returns the list as it was {@code lagMs} ago. */
    synchronized Snapshot read(long nowMs, long lagMs) {
        long asOfMs = nowMs - lagMs;
        Snapshot seen = mSnapshots.peekFirst();
        for (Snapshot snapshot : mSnapshots) {
            if (snapshot.asOfMs() <= asOfMs) {
                seen = snapshot;
            }
        }
        return new Snapshot(asOfMs, seen.vms());
    }

    /**
     * The list at one point in time.
     *
     * @param asOfMs time in milliseconds since the epoch
     * @param vms the VMs in the list
     */
    record Snapshot(long asOfMs, List<Vm> vms) {}
}
