package org.boragethread.core.placement;

/** A request that was placed at an engine and has not ended. Not thread-safe. */
final class PlacedRequest {

    private final PlacementRequest mRequest;
    private final EngineLoad mEngine;
    private final double mWorkMillis;
    private final double mPrefillTokens;
    private final long mPlacedAt;
    private final long mSequence;
    private boolean mPrefixAdded;
    private boolean mFirstEventSeen;

    /**
     * Creates a placed request.
     *
     * @param workMillis time to process its prompt at an engine of usual speed
     * @param prefillTokens tokens of the prompt that are not cached
     * @param placedAt monotonic time at which it was placed
     * @param sequence differs for each placed request
     */
    PlacedRequest(
            PlacementRequest request,
            EngineLoad engine,
            double workMillis,
            double prefillTokens,
            long placedAt,
            long sequence) {
        mRequest = request;
        mEngine = engine;
        mWorkMillis = workMillis;
        mPrefillTokens = prefillTokens;
        mPlacedAt = placedAt;
        mSequence = sequence;
    }

    PlacementRequest request() {
        return mRequest;
    }

    EngineLoad engine() {
        return mEngine;
    }

    double workMillis() {
        return mWorkMillis;
    }

    double prefillTokens() {
        return mPrefillTokens;
    }

    long placedAt() {
        return mPlacedAt;
    }

    long sequence() {
        return mSequence;
    }

    /** Returns whether its prefix was not cached at the engine before. */
    boolean isPrefixAdded() {
        return mPrefixAdded;
    }

    void markPrefixAdded() {
        mPrefixAdded = true;
    }

    boolean isFirstEventSeen() {
        return mFirstEventSeen;
    }

    void markFirstEventSeen() {
        mFirstEventSeen = true;
    }

    /** Returns the time until which the next report of its entry is awaited. */
    long expiresAt() {
        return mFirstEventSeen ? mRequest.expiryNanos() : mRequest.deadlineNanos();
    }
}
