package org.boragethread.model.routing;

/**
 * Capacity of one language-model engine.
 *
 * @param slots maximum number of requests that it processes concurrently
 * @param cacheTokens maximum number of tokens of running requests and cached prompt parts in its
 *     memory
 */
public record EngineLimits(int slots, long cacheTokens) {

    /** More than any engine holds, and so small that the sum of all requests cannot overflow. */
    private static final long MAX_TOKENS = 1L << 40;

    /**
     * Returns the tokens that a request may hold in memory. An unknown output may need all that the
     * prompt leaves.
     *
     * @param maxOutputTokens maximum number of generated tokens; 0 if it is not known
     */
    public long memoryTokens(long promptTokens, long maxOutputTokens) {
        long prompt = Math.min(promptTokens, MAX_TOKENS);
        long output =
                maxOutputTokens > 0
                        ? Math.min(maxOutputTokens, MAX_TOKENS)
                        : Math.max(0, cacheTokens - prompt);
        return prompt + output;
    }
}
