package org.boragethread.core.limit;

import java.util.Optional;

/**
 * Maximum number of calls in flight at one upstream, adjusted according to how calls end.
 * Implementations are not thread-safe; the owning admission controller guards them. Each update
 * returns the resulting change, or empty if the limit stays as it is.
 */
public interface ConcurrencyLimit {

    /** Returns the current limit, at least 1. */
    int limit();

    /** Returns whether the upstream is still warming up. */
    boolean isCold();

    /** Records a call that ended with a complete response. */
    Optional<LimitChange> onSuccess(CallSample sample);

    /** Records a call that the upstream failed, rejected or did not respond to in time. */
    Optional<LimitChange> onFailure(CallSample sample, FailureKind kind);

    /**
     * Records that the upstream is unreachable, was lost or has restarted, and is therefore cold.
     */
    Optional<LimitChange> onUpstreamLost(LimitChangeReason reason);

    /** Applies the load that the upstream reports. */
    Optional<LimitChange> onReportedLoad(ReportedLoad load);

    /**
     * Checks before a call is admitted whether the upstream was idle for so long that it counts as
     * cold; called only while no call is in flight.
     */
    Optional<LimitChange> onIdle();

    /** Applies changed bounds. */
    Optional<LimitChange> reconfigure(int coldLimit, int maxLimit);

    /** How a call failed at the upstream. */
    enum FailureKind {
        /** The upstream rejected the call because it is overloaded. */
        BUSY,
        /** The upstream returned an error or its response was cut short. */
        FAILED,
        /** The call's deadline passed while the upstream was processing it. */
        TIMED_OUT
    }
}
