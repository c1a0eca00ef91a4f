package org.boragethread.core.stage;

/**
 * A result that occupies memory of its upstream.
 *
 * @param location where the result is stored
 * @param bytes approximate size in bytes
 * @param expiresAtNanos monotonic time at which the upstream drops the result unless it was freed
 *     before
 */
public record HeldResult(ResultLocation location, long bytes, long expiresAtNanos) {}
