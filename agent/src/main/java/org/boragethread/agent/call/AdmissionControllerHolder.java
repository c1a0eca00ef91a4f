package org.boragethread.agent.call;

import java.util.Optional;
import org.boragethread.core.admission.AdmissionController;
import org.boragethread.model.upstream.UpstreamLoad;

/** Holds the admission controller, which exists once the group's configuration is known. */
public final class AdmissionControllerHolder {

    private boolean mLeaving;
    private ManagedAdmissionController mManaged;

    /** Returns the controller that receives calls, if the configuration of the group is known. */
    public Optional<AdmissionController> controller() {
        return managed().map(ManagedAdmissionController::controller);
    }

    /** Returns the managed controller, if the configuration of the group is known. */
    public synchronized Optional<ManagedAdmissionController> managed() {
        return Optional.ofNullable(mManaged);
    }

    /** Sets the controller and applies the current leaving state to it. */
    public synchronized void set(ManagedAdmissionController managed) {
        mManaged = managed;
        managed.controller().setLeaving(mLeaving);
    }

    /** Sets whether the current and any later controller refuses new calls. */
    public synchronized void setLeaving(boolean leaving) {
        mLeaving = leaving;
        controller().ifPresent(controller -> controller.setLeaving(leaving));
    }

    /** Returns whether new calls are refused because the upstream is leaving service. */
    public synchronized boolean isLeaving() {
        return mLeaving;
    }

    /** Returns the load that is reported with responses. */
    public UpstreamLoad load() {
        return controller().map(AdmissionController::load).orElse(UpstreamLoad.UNKNOWN);
    }
}
