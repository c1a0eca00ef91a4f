package org.boragethread.bench.clocks;

/**
 * Result of one simulation.
 *
 * @param deliveries number of deliveries at processes other than the sender
 * @param errors deliveries before a message that causally precedes the delivered one
 * @param undelivered messages received but not delivered at the end
 * @param bytesPerMessage mean size of the ordering data as protobuf varints, in bytes
 * @param meanLatencyMillis mean time from the request to send until a delivery, in milliseconds
 */
record ClockResult(
        long deliveries,
        long errors,
        long undelivered,
        double bytesPerMessage,
        double meanLatencyMillis) {

    /** Returns the share of deliveries that violate causal order. */
    double errorRate() {
        return deliveries == 0 ? 0 : (double) errors / deliveries;
    }
}
