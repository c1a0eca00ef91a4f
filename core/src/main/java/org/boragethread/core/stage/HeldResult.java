package org.boragethread.core.stage;

/**
 * A result that occupies memory of its upstream.
 *
 * @param made where the result is stored
 * @param bytes approximate size in bytes
 * @param untilNanos monotonic time at which the upstream drops the result unless it was freed
 *     before
 */
public record HeldResult(MadePiece made, long bytes, long untilNanos) {}
