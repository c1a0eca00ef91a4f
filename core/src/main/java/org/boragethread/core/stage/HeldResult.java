package org.boragethread.core.stage;

/**
 * A result that occupies memory of its upstream.
 *
 * @param made the result and the upstream that holds it
 * @param bytes approximate size in bytes
 * @param untilNanos monotonic time at which the upstream drops it if nobody frees it
 */
public record HeldResult(MadePiece made, long bytes, long untilNanos) {}
