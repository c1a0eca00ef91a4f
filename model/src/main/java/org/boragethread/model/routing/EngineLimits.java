package org.boragethread.model.routing;

/**
 * Capacity of one language-model engine.
 *
 * @param slots maximum number of requests that it processes concurrently
 * @param cacheTokens maximum number of tokens of running requests and cached prompt parts in its
 *     memory
 */
public record EngineLimits(int slots, long cacheTokens) {}
