package org.boragethread.standins.upstream;

/**
 * An executed order.
 *
 * @param requestId value of {@code Request-Id}
 * @param attempt value of {@code Attempt}
 * @param bodyHash SHA-256 of the body, in hexadecimal
 * @param timeMs time of the execution, in milliseconds since the epoch
 */
public record Order(String requestId, long attempt, String bodyHash, long timeMs) {}
