package org.boragethread.agent.call;

import java.util.Objects;
import java.util.Optional;
import org.boragethread.core.admission.AdaptiveAdmissionController;
import org.boragethread.core.admission.AdmissionController;
import org.boragethread.core.limit.ReportedLoad;
import org.boragethread.model.upstream.UpstreamGroup;

/**
 * The gate that calls go through, with the adaptive gate inside it that follows the group's
 * configuration and the load that the upstream reports.
 */
public final class ManagedGate {

    private final AdaptiveAdmissionController mInner;
    private final AdmissionController mOuter;
    private volatile boolean mReportsLoad;

    /**
     * Makes a managed gate.
     *
     * @param inner the gate that holds the limit and the queue
     * @param outer the gate that calls are offered to, which is the inner one or goes before it
     */
    public ManagedGate(
            AdaptiveAdmissionController inner, AdmissionController outer, UpstreamGroup group) {
        mInner = Objects.requireNonNull(inner, "inner");
        mOuter = Objects.requireNonNull(outer, "outer");
        mReportsLoad = group.reportsLoad();
    }

    /** Returns the gate that calls are offered to. */
    public AdmissionController gate() {
        return mOuter;
    }

    /** Applies a group's new limits. */
    void reconfigure(UpstreamGroup group) {
        mReportsLoad = group.reportsLoad();
        mInner.reconfigure(group);
    }

    /** Takes the load header of an answer, if the group reports load. */
    void onLoadHeader(Optional<String> header) {
        if (mReportsLoad) {
            header.flatMap(ReportedLoad::parse).ifPresent(mInner::onReportedLoad);
        }
    }
}
