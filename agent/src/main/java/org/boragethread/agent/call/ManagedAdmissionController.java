package org.boragethread.agent.call;

import java.util.Objects;
import java.util.Optional;
import org.boragethread.core.admission.AdaptiveAdmissionController;
import org.boragethread.core.admission.AdmissionController;
import org.boragethread.core.limit.ReportedLoad;
import org.boragethread.model.upstream.UpstreamGroup;

/**
 * The admission controller of the upstream, together with the adaptive controller inside it, which
 * follows the configuration of the group and the load that the upstream reports.
 */
public final class ManagedAdmissionController {

    private final AdaptiveAdmissionController mAdaptive;
    private final AdmissionController mController;
    private volatile boolean mReportsLoad;

    /**
     * Creates a managed admission controller.
     *
     * @param adaptive the controller that holds the limit and the queue
     * @param controller the controller that receives calls, which is the adaptive one or wraps it
     */
    public ManagedAdmissionController(
            AdaptiveAdmissionController adaptive,
            AdmissionController controller,
            UpstreamGroup group) {
        mAdaptive = Objects.requireNonNull(adaptive, "adaptive");
        mController = Objects.requireNonNull(controller, "controller");
        mReportsLoad = group.reportsLoad();
    }

    /** Returns the controller that receives calls. */
    public AdmissionController controller() {
        return mController;
    }

    /** Applies a new configuration of the group. */
    void reconfigure(UpstreamGroup group) {
        mReportsLoad = group.reportsLoad();
        mAdaptive.reconfigure(group);
    }

    /** Handles the load header of a response, if upstreams of the group report their load. */
    void onLoadHeader(Optional<String> header) {
        if (mReportsLoad) {
            header.flatMap(ReportedLoad::parse).ifPresent(mAdaptive::onReportedLoad);
        }
    }
}
