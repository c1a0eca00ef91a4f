package org.boragethread.model.routing;

/**
 * What one language-model engine holds.
 *
 * @param slots requests that it processes at the same time
 * @param cacheTokens tokens of running requests and cached prompt parts that fit its memory
 */
public record EngineLimits(int slots, long cacheTokens) {}
