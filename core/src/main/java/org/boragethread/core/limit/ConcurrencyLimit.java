package org.boragethread.core.limit;

import java.util.Optional;

/**
 * The number of calls that may be in flight at one upstream, learnt from how calls end.
 * Implementations are not safe for use by several threads; the gate that owns one guards it.
 */
public interface ConcurrencyLimit {

    /** Returns the limit, at least 1. */
    int limit();

    /** Tells whether the upstream is still warming up. */
    boolean isCold();

    /** Learns from a whole answer. */
    Optional<LimitChange> onSuccess(CallSample sample);

    /** Learns from a call that the upstream failed, refused or left unanswered. */
    Optional<LimitChange> onFailure(CallSample sample, FailureKind kind);

    /** Learns that the upstream was lost or restarted and is cold. */
    Optional<LimitChange> onUpstreamLost(LimitChangeReason reason);

    /** Learns the load that the upstream reports. */
    Optional<LimitChange> onReportedLoad(ReportedLoad load);

    /** Looks at the time before a call is admitted; called while no call is in flight. */
    Optional<LimitChange> onIdle();

    /** Takes over changed bounds. */
    Optional<LimitChange> reconfigure(int coldLimit, int maxLimit);

    /** How a call failed at the upstream. */
    enum FailureKind {
        /** The upstream refused the call because it is overloaded. */
        BUSY,
        /** The upstream answered with an error or its answer was cut. */
        FAILED,
        /** The call's deadline passed while the upstream worked on it. */
        TIMED_OUT
    }
}
