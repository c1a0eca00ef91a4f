package org.boragethread.core.upstream;

/**
 * Learned response time of the upstreams of one group: a fixed part, and a part in proportion to
 * the prompt tokens that an engine has to process (prefill). For streams, the response time ends
 * with the first event. Both parts are fitted to recent responses by least squares, in which older
 * responses count less. Not thread-safe.
 */
public final class ResponseTimeModel {

    /** Weight of the responses so far when another one is added. */
    private static final double DECAY = 0.97;

    /** A response counts as at most this multiple of the expected time. */
    private static final double MAX_RELATIVE_TIME = 4;

    /** Initial response time without prompt tokens: that of a busy engine, to be safe. */
    private static final double INITIAL_BASE_MILLIS = 200;

    /** Initial processing time of a prompt token: that of a slow engine, to be safe. */
    private static final double INITIAL_TOKEN_MILLIS = 0.02;

    /** Prompt tokens of the responses that the initial values stand for. */
    private static final double[] INITIAL_TOKENS = {0, 5000};

    private static final double MIN_BASE_MILLIS = 1;
    private static final double MAX_BASE_MILLIS = 5000;
    private static final double MIN_TOKEN_MILLIS = 0.001;
    private static final double MAX_TOKEN_MILLIS = 1;

    private double mWeight;
    private double mTokens;
    private double mTokensSquared;
    private double mMillis;
    private double mTokensMillis;
    private double mBaseMillis = INITIAL_BASE_MILLIS;
    private double mTokenMillis = INITIAL_TOKEN_MILLIS;

    /** Creates a model with initial values that give way to the first responses. */
    public ResponseTimeModel() {
        for (double tokens : INITIAL_TOKENS) {
            addSample(tokens, INITIAL_BASE_MILLIS + tokens * INITIAL_TOKEN_MILLIS);
        }
    }

    /**
     * Adds a response and returns its time as a multiple of the time expected before.
     *
     * @param tokens prompt tokens that the upstream had to process; 0 for plain services
     * @param millis response time in milliseconds
     */
    public double addAndCompare(double tokens, double millis) {
        double expected = expectedMillis(tokens);
        double relative = millis / expected;
        addSample(tokens, Math.min(relative, MAX_RELATIVE_TIME) * expected);
        fit();
        return relative;
    }

    /** Returns the expected response time in milliseconds. */
    public double expectedMillis(double tokens) {
        return mBaseMillis + prefillMillis(tokens);
    }

    /** Returns the time to process prompt tokens that are not cached, in milliseconds. */
    public double prefillMillis(double tokens) {
        return tokens * mTokenMillis;
    }

    /** Returns the mean time to process the prompt of a request, in milliseconds. */
    public double meanPrefillMillis() {
        return prefillMillis(mTokens / mWeight);
    }

    private void addSample(double tokens, double millis) {
        mWeight = DECAY * mWeight + 1;
        mTokens = DECAY * mTokens + tokens;
        mTokensSquared = DECAY * mTokensSquared + tokens * tokens;
        mMillis = DECAY * mMillis + millis;
        mTokensMillis = DECAY * mTokensMillis + tokens * millis;
    }

    private void fit() {
        double spread = mWeight * mTokensSquared - mTokens * mTokens;
        // With nearly equal prompts, the two parts cannot be told apart.
        if (spread > 1e-3 * mTokens * mTokens) {
            double slope = (mWeight * mTokensMillis - mTokens * mMillis) / spread;
            mTokenMillis = clamp(slope, MIN_TOKEN_MILLIS, MAX_TOKEN_MILLIS);
        }
        double base = (mMillis - mTokenMillis * mTokens) / mWeight;
        mBaseMillis = clamp(base, MIN_BASE_MILLIS, MAX_BASE_MILLIS);
    }

    private static double clamp(double value, double min, double max) {
        return Math.min(max, Math.max(min, value));
    }
}
