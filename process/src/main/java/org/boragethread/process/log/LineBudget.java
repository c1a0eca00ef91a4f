package org.boragethread.process.log;

/** Bounds lines a second, with a burst of one second's lines. */
final class LineBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double mPerSecond;
    private double mLeft;
    private long mAt;

    LineBudget(double perSecond, long now) {
        mPerSecond = perSecond;
        mLeft = perSecond;
        mAt = now;
    }

    boolean tryTake(long now) {
        double earned = (now - mAt) / NANOS_PER_SECOND * mPerSecond;
        mLeft = Math.min(mPerSecond, mLeft + Math.max(0, earned));
        mAt = now;
        if (mLeft < 1) {
            return false;
        }
        mLeft--;
        return true;
    }
}
