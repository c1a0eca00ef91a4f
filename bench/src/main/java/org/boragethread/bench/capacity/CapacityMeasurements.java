package org.boragethread.bench.capacity;

/** Prints a table of control costs measured at several sizes, each with a fitted line. */
public final class CapacityMeasurements {

    private CapacityMeasurements() {}

    /** Measures everything; takes no arguments. */
    public static void main(String[] args) throws InterruptedException {
        System.out.println("| what | measured | line | R² |");
        System.out.println("|---|---|---|---|");
        new FrameCosts().run();
        new ConfigurationCosts().run();
        new ClaimCosts().run();
        new ConnectionCosts().run();
    }
}
