package org.boragethread.bench.clocks;

/**
 * Outcome of a run.
 *
 * @param deliveries number of deliveries at processes other than the sender
 * @param errors deliveries before a message that causally precedes the delivered one
 * @param undelivered messages that were still held back at the end
 * @param bytesPerMessage mean size of the ordering data as protobuf varints, in bytes
 * @param meanLatencyMillis mean time from the wish to send until a delivery, in milliseconds
 */
record ClockResult(
        long deliveries,
        long errors,
        long undelivered,
        double bytesPerMessage,
        double meanLatencyMillis) {

    /** Returns the share of deliveries in violation of causal order. */
    double errorRate() {
        return deliveries == 0 ? 0 : (double) errors / deliveries;
    }
}
