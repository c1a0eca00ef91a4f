package org.boragethread.standins.upstream;

/**
 * Settings of one upstream.
 *
 * @param name name of the upstream
 * @param kind kind of service that it simulates
 * @param port port to listen on, or 0 for a free one
 * @param capacity number of calls that it runs concurrently
 * @param maxConcurrent limit on running and queued calls; further ones are answered with status 503
 *     and not run
 * @param coldCapacity limit on running and queued calls just after the start; exceeding it
 *     overloads the upstream
 * @param warmCalls successful calls until it is warm; the limit rises linearly with each
 * @param fallOverMs time for which it fails every call after an overload, in milliseconds
 * @param serviceMs median service time of one call, in milliseconds
 * @param serviceSigma standard deviation of the logarithm of the service time
 * @param loadSlope relative slowdown of calls when the whole capacity is in use
 * @param tokens number of tokens of a stream
 * @param tokenMs time between two tokens, in milliseconds
 * @param prefixBytes length of a prompt's prefix, in bytes
 * @param prefixSlots number of prefixes that the cache holds
 * @param resultBytes minimum size of a plain result, in bytes
 * @param loadLagMs age of the reported load, in milliseconds, or -1 to report none
 * @param seed seed of service times and random faults
 */
public record UpstreamSettings(
        String name,
        UpstreamKind kind,
        int port,
        int capacity,
        int maxConcurrent,
        int coldCapacity,
        int warmCalls,
        long fallOverMs,
        double serviceMs,
        double serviceSigma,
        double loadSlope,
        int tokens,
        double tokenMs,
        int prefixBytes,
        int prefixSlots,
        int resultBytes,
        long loadLagMs,
        long seed) {

    /** A plain upstream that is warm from the start and has a median service time of 5 ms. */
    public static final UpstreamSettings DEFAULTS =
            new UpstreamSettings(
                    "upstream",
                    UpstreamKind.PLAIN,
                    0,
                    8,
                    64,
                    64,
                    0,
                    2000,
                    5,
                    0.2,
                    0.2,
                    20,
                    5,
                    256,
                    64,
                    0,
                    -1,
                    1);

    public UpstreamSettings {
        if (capacity < 1 || maxConcurrent < capacity || coldCapacity < 1) {
            throw new IllegalArgumentException(
                    "upstream \"%s\" must have 1 <= capacity <= maxConcurrent and 1 <= coldCapacity"
                            .formatted(name));
        }
    }

    /** Returns whether the upstream is cold after a start. */
    public boolean startsCold() {
        return warmCalls > 0 && coldCapacity < maxConcurrent;
    }
}
