package org.boragethread.bench.capacity;

import java.lang.management.ManagementFactory;

/** Reads how much of the heap is in use. */
final class Heap {

    private static final int COLLECTIONS = 3;

    private Heap() {}

    /** Returns the bytes in use after garbage collection. */
    static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
