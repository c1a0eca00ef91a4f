package org.boragethread.agent.call;

import java.util.Optional;
import org.boragethread.core.admission.AdmissionController;
import org.boragethread.model.upstream.UpstreamLoad;

/** Holds the gate, which exists once the group's configuration is known. */
public final class GateHolder {

    private boolean mLeaving;
    private ManagedGate mGate;

    /** Returns the gate that calls are offered to, if the configuration of the group is known. */
    public Optional<AdmissionController> gate() {
        return managed().map(ManagedGate::gate);
    }

    /** Returns the managed gate, if the configuration of the group is known. */
    public synchronized Optional<ManagedGate> managed() {
        return Optional.ofNullable(mGate);
    }

    /** Sets the gate. */
    public synchronized void set(ManagedGate gate) {
        mGate = gate;
        gate.gate().setLeaving(mLeaving);
    }

    /** Makes the present and any later gate refuse new work, or take it again. */
    public synchronized void setLeaving(boolean leaving) {
        mLeaving = leaving;
        gate().ifPresent(gate -> gate.setLeaving(leaving));
    }

    /** Tells whether new work is refused because the upstream is leaving. */
    public synchronized boolean isLeaving() {
        return mLeaving;
    }

    /** Returns the load to attach to answers. */
    public UpstreamLoad load() {
        return gate().map(AdmissionController::load).orElse(UpstreamLoad.UNKNOWN);
    }
}
