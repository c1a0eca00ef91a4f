package org.boragethread.standins.upstream;

/**
 * Settings of one upstream.
 *
 * @param name name of the upstream
 * @param kind what it does with a call
 * @param port port to listen on, or 0 for a free one
 * @param capacity calls that it works on at the same time
 * @param maxConcurrent calls that it holds, working or waiting; more are answered 503, not run
 * @param coldCapacity calls that it bears just after its start
 * @param warmCalls good calls until it is warm; what it bears rises evenly with each
 * @param fallOverMs time that it fails every call after too many calls, in milliseconds
 * @param serviceMs median time of work on one call, in milliseconds
 * @param serviceSigma spread of that time: standard deviation of its logarithm
 * @param loadSlope share by which work slows when all of the capacity is in use
 * @param tokens tokens of a stream
 * @param tokenMs time between two tokens, in milliseconds
 * @param prefixBytes bytes of a prompt that make its prefix
 * @param prefixSlots prefixes that the cache holds
 * @param resultBytes least size of a plain result, in bytes
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

    /** A plain upstream that is warm from the start and answers after 5 ms. */
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
                    "upstream \"%s\": 1 <= capacity <= maxConcurrent and 1 <= coldCapacity"
                            .formatted(name));
        }
    }

    /** Tells whether a start leaves the upstream cold. */
    public boolean startsCold() {
        return warmCalls > 0 && coldCapacity < maxConcurrent;
    }
}
