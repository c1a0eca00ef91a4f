package org.boragethread.bench.capacity;

import java.lang.management.ManagementFactory;

/** Measures the heap in use. */
final class HeapUsage {

    private static final int GC_RUNS = 3;

    private HeapUsage() {}

    /** Returns the used heap in bytes after garbage collection. */
    static long usedBytes() {
        for (int i = 0; i < GC_RUNS; i++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
