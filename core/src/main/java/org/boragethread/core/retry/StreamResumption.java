package org.boragethread.core.retry;

/**
 * Tracks a stream of tokens over several attempts, so that the caller receives each token exactly
 * once and in order. Tokens are numbered from 0. Not thread-safe.
 *
 * <p>Usage: call {@link #startAttempt} before each attempt and send its result to the upstream as
 * the number of tokens already received; call {@link #onToken} for each token, and pass it on only
 * if the result is {@link ResumeEvent#DELIVERED}; call {@link #onEnd} for the end mark. If an
 * attempt fails or has a gap, start the next one.
 */
public final class StreamResumption {

    private static final int NO_ATTEMPT = -1;

    private int mAttempt = NO_ATTEMPT;
    private int mReceivedTokens;
    private boolean mGap;
    private boolean mEnded;

    /**
     * Starts a new attempt; tokens of earlier attempts are dropped from now on.
     *
     * @param attempt number of the attempt, greater than all previous numbers
     * @return number of tokens already received, which is the index of the first token of the
     *     attempt
     * @throws IllegalStateException if the stream has ended or the number is not greater
     */
    public int startAttempt(int attempt) {
        if (mEnded) {
            throw new IllegalStateException("cannot start another attempt: the stream has ended");
        }
        if (attempt <= mAttempt) {
            throw new IllegalStateException(
                    "attempt number %d must be greater than the previous number %d"
                            .formatted(attempt, mAttempt));
        }
        mAttempt = attempt;
        mGap = false;
        return mReceivedTokens;
    }

    /**
     * Handles a token.
     *
     * @param attempt number of the attempt that delivered it
     * @param index position of the token in the whole stream, from 0
     */
    public ResumeEvent onToken(int attempt, int index) {
        if (isStale(attempt)) {
            return ResumeEvent.STALE_DROPPED;
        }
        if (index < mReceivedTokens) {
            return ResumeEvent.REPEAT_DROPPED;
        }
        if (index > mReceivedTokens) {
            mGap = true;
            return ResumeEvent.GAP;
        }
        mReceivedTokens++;
        return ResumeEvent.DELIVERED;
    }

    /**
     * Handles the end mark of an attempt.
     *
     * @param attempt number of the attempt that delivered it
     * @param tokens number of tokens in the whole stream
     * @return {@link ResumeEvent#ENDED} only if the caller has received all of them
     */
    public ResumeEvent onEnd(int attempt, int tokens) {
        if (isStale(attempt)) {
            return ResumeEvent.STALE_DROPPED;
        }
        if (tokens != mReceivedTokens) {
            mGap = true;
            return ResumeEvent.GAP;
        }
        mEnded = true;
        return ResumeEvent.ENDED;
    }

    private boolean isStale(int attempt) {
        return attempt != mAttempt || mGap || mEnded;
    }

    /** Returns the number of tokens that the caller has received. */
    public int receivedTokens() {
        return mReceivedTokens;
    }

    /** Returns whether the caller has received the whole stream. */
    public boolean isEnded() {
        return mEnded;
    }
}
