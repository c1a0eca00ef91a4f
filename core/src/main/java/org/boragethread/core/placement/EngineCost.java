package org.boragethread.core.placement;

/**
 * Expected cost of an engine for a request, as a delay in milliseconds. Not thread-safe, since it
 * reads the learned times.
 */
final class EngineCost {

    /**
     * Largest weight of the time to process a prefix that is not cached, reached when all engines
     * are busy: it delays the request, the prompts behind it, and the tokens of running requests.
     */
    private static final double MAX_MISS_WEIGHT = 3;

    /** Cost of each step in the rendezvous order of a prefix. */
    private static final double RANK_MILLIS = 1;

    /**
     * Extra delay for each request that runs at the engine, as a share of the mean prefill time.
     * The learned speed of the engine has most of the effect of running requests, so this is only
     * large enough to prefer the engine with fewer of them if engines are otherwise equal.
     */
    private static final double RUNNING_PREFILLS = 0.02;

    private final PromptTimes mTimes;

    EngineCost(PromptTimes times) {
        mTimes = times;
    }

    /** Returns the tokens of a request's prompt that an engine has to process. */
    static double prefillTokens(EngineLoad engine, PlacementRequest request) {
        boolean cached = engine.isPrefixCached(request.prefixHash());
        return request.promptTokens() - (cached ? request.prefixTokens() : 0);
    }

    /** Returns the time that an engine needs for a prompt at a speed. */
    double promptMillis(EngineLoad engine, PlacementRequest request, double slowness) {
        return mTimes.expectedMillis(prefillTokens(engine, request)) * slowness;
    }

    /** Returns the weight of a prefix that is not cached. */
    static double missWeight(double busyShare) {
        return 1 + (MAX_MISS_WEIGHT - 1) * busyShare;
    }

    /**
     * Returns the cost.
     *
     * @param firstEventMillis time until the engine has processed the prompt
     * @param rank rank of the engine in the order of the prefix
     * @param missWeight weight of the prefix if it is not cached
     */
    double of(
            EngineLoad engine,
            PlacementRequest request,
            double firstEventMillis,
            int rank,
            double missWeight) {
        double cost = firstEventMillis;
        cost += engine.placed() * RUNNING_PREFILLS * mTimes.meanPrefillMillis();
        if (request.prefixHash() != 0) {
            cost += rank * RANK_MILLIS;
            if (!engine.isPrefixCached(request.prefixHash())) {
                cost += (missWeight - 1) * mTimes.prefillMillis(request.prefixTokens());
            }
        }
        boolean remote =
                request.inputDataCentre()
                        .filter(local -> !local.equals(engine.status().dataCentre()))
                        .isPresent();
        if (remote) {
            cost += request.remoteMillis();
        }
        return engine.status().cold() ? cost + mTimes.expectedMillis(0) : cost;
    }
}
