package org.boragethread.standins.upstream;

/**
 * An order that an upstream of kind {@link UpstreamKind#ORDERS} has executed.
 *
 * @param requestId value of the {@code Request-Id} header
 * @param attempt value of the {@code Attempt} header
 * @param bodyHash SHA-256 hash of the body, in hexadecimal
 * @param timeMs time of execution in milliseconds since the epoch
 */
public record Order(String requestId, long attempt, String bodyHash, long timeMs) {}
