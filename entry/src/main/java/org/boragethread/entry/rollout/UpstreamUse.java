package org.boragethread.entry.rollout;

import java.util.OptionalDouble;

/** One send to an upstream, from the moment it is counted until it has ended. */
public interface UpstreamUse {

    /** A send that no roll-out counts. */
    UpstreamUse NONE =
            new UpstreamUse() {
                @Override
                public void onResponse(OptionalDouble relativeTime) {}

                @Override
                public void onFailure() {}

                @Override
                public void onAbandoned(double relativeTime) {}

                @Override
                public void onEnded() {}
            };

    /**
     * Called when the upstream has responded, or has sent the first event of a stream.
     *
     * @param relativeTime response time as a multiple of the predicted one; empty if unknown
     */
    void onResponse(OptionalDouble relativeTime);

    /** Called when the upstream responded with an error, or its response broke off. */
    void onFailure();

    /**
     * Called when this process has given up the call, before or after a response.
     *
     * @param relativeTime time since the send as a multiple of the predicted response time
     */
    void onAbandoned(double relativeTime);

    /** Called when the call has ended, after any of the others. */
    void onEnded();
}
