package org.boragethread.bench.clocks;

/** Prints a table that compares probabilistic causal clocks with log offsets. */
public final class ClockComparison {

    private static final int MESSAGES = 4000;
    private static final long SEED = 7;
    private static final int[] PROCESSES = {5, 25, 100, 300};
    private static final int[][] CLOCKS = {{1, 1}, {8, 2}, {25, 1}, {25, 3}, {100, 4}};
    private static final double[] CONCURRENCIES = {0.5, 5, 20};

    private ClockComparison() {}

    /** Prints all rows; takes no arguments. */
    public static void main(String[] args) {
        System.out.println(
                "| N | concurrency | mechanism | R | K | deliveries | errors | error rate"
                        + " | bytes/message | mean latency ms |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|");
        for (int processes : PROCESSES) {
            for (double concurrency : CONCURRENCIES) {
                printRows(processes, concurrency);
            }
        }
    }

    private static void printRows(int processes, double concurrency) {
        for (int[] clock : CLOCKS) {
            ClockSetup setup =
                    new ClockSetup(processes, clock[0], clock[1], concurrency, MESSAGES, SEED);
            printRow(
                    setup, "clock", clock[0] + " | " + clock[1], new ProbabilisticRun(setup).run());
        }
        ClockSetup setup = new ClockSetup(processes, 1, 1, concurrency, MESSAGES, SEED);
        printRow(setup, "log offset", "– | –", new LogRun(setup).run());
    }

    private static void printRow(ClockSetup setup, String name, String clock, ClockResult result) {
        if (result.undelivered() > 0) {
            throw new IllegalStateException(
                    "%s left %d messages undelivered".formatted(setup, result.undelivered()));
        }
        System.out.printf(
                "| %d | %.1f | %s | %s | %d | %d | %.2e | %.1f | %.0f |%n",
                setup.processes(),
                setup.concurrency(),
                name,
                clock,
                result.deliveries(),
                result.errors(),
                result.errorRate(),
                result.bytesPerMessage(),
                result.meanLatencyMillis());
    }
}
