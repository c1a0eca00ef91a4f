package org.boragethread.entry.rollout;

import java.util.OptionalDouble;

/** One send to an upstream, from the moment it is counted until it has ended. */
public interface UpstreamUse {

    /** A send that no roll-out counts. */
    UpstreamUse NONE =
            new UpstreamUse() {
                @Override
                public void onStarted(OptionalDouble relativeTime) {}

                @Override
                public void onResponse(OptionalDouble relativeTime) {}

                @Override
                public void onFailure() {}

                @Override
                public void onAbandoned(double relativeTime) {}

                @Override
                public void onGivenUp(double relativeTime) {}

                @Override
                public void onEnded() {}
            };

    /**
     * Called when the upstream has sent the first event of a stream, which counts at its end only.
     *
     * @param relativeTime response time as a multiple of the predicted one; empty if unknown
     */
    void onStarted(OptionalDouble relativeTime);

    /**
     * Called when the upstream has responded completely.
     *
     * @param relativeTime response time as a multiple of the predicted one, which that of the first
     *     event precedes; empty if unknown
     */
    void onResponse(OptionalDouble relativeTime);

    /** Called when the upstream responded with an error, or its response broke off. */
    void onFailure();

    /**
     * Called when the call is cancelled for a reason other than its upstream, for example because
     * the caller left.
     *
     * @param relativeTime time since the send as a multiple of the predicted response time
     */
    void onAbandoned(double relativeTime);

    /**
     * Called when this process cancels the call because the upstream does not go on.
     *
     * @param relativeTime time since the send as a multiple of the predicted response time
     */
    void onGivenUp(double relativeTime);

    /** Called when the call has ended, after any of the others. */
    void onEnded();
}
