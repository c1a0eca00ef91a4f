package org.boragethread.core.retry;

/**
 * Follows one stream of tokens over several attempts, so that the caller sees no gap and no repeat.
 * Tokens are counted from 0. Not safe for use by several threads.
 *
 * <p>Use: {@link #startAttempt} before each attempt, whose result is sent as the number of tokens
 * already received; {@link #onToken} for each token, which is passed on only if it says {@link
 * ResumeEvent#DELIVERED}; {@link #onEnd} for the end mark. If an attempt breaks or shows a gap,
 * start the next one.
 */
public final class StreamResumption {

    private static final int NO_ATTEMPT = -1;

    private int mAttempt = NO_ATTEMPT;
    private int mReceived;
    private boolean mGap;
    private boolean mEnded;

    /**
     * Makes a new attempt the only one whose tokens count.
     *
     * @param attempt number of the attempt, greater than all before
     * @return number of tokens already received, at which the attempt must start
     * @throws IllegalStateException if the stream has ended or the number is not greater
     */
    public int startAttempt(int attempt) {
        if (mEnded) {
            throw new IllegalStateException("the stream has ended: start no further attempt");
        }
        if (attempt <= mAttempt) {
            throw new IllegalStateException(
                    "attempt %d must come after attempt %d".formatted(attempt, mAttempt));
        }
        mAttempt = attempt;
        mGap = false;
        return mReceived;
    }

    /**
     * Judges a token.
     *
     * @param attempt number of the attempt that brought it
     * @param index position of the token in the whole stream, from 0
     */
    public ResumeEvent onToken(int attempt, int index) {
        if (isStale(attempt)) {
            return ResumeEvent.STALE_DROPPED;
        }
        if (index < mReceived) {
            return ResumeEvent.REPEAT_DROPPED;
        }
        if (index > mReceived) {
            mGap = true;
            return ResumeEvent.GAP;
        }
        mReceived++;
        return ResumeEvent.DELIVERED;
    }

    /**
     * Judges the end mark of an attempt.
     *
     * @param attempt number of the attempt that brought it
     * @param tokens number of tokens in the whole stream
     * @return {@link ResumeEvent#ENDED} only if the caller has received all of them
     */
    public ResumeEvent onEnd(int attempt, int tokens) {
        if (isStale(attempt)) {
            return ResumeEvent.STALE_DROPPED;
        }
        if (tokens != mReceived) {
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
        return mReceived;
    }

    /** Tells whether the whole stream has been received. */
    public boolean isEnded() {
        return mEnded;
    }
}
