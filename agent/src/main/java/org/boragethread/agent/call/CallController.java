package org.boragethread.agent.call;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.agent.upstream.UpstreamClient;
import org.boragethread.core.admission.AdmissionController;
import org.boragethread.core.admission.AdmissionRequest;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.UpstreamLoad;
import org.boragethread.wire.server.CallHandler;
import org.boragethread.wire.server.IncomingCall;

/** Takes calls from entries, asks the gate, and runs admitted calls on the upstream. */
public final class CallController implements CallHandler {

    private final GateHolder mGates;
    private final UpstreamClient mClient;
    private final TimeSource mTime;
    private final Scheduler mScheduler;
    private final CallMetrics mMetrics;
    private final ClaimGuard mClaims;

    /** Runs calls that a gate admits on a client. */
    public CallController(
            GateHolder gates,
            UpstreamClient client,
            TimeSource time,
            Scheduler scheduler,
            CallMetrics metrics,
            ClaimGuard claims) {
        mGates = gates;
        mClient = client;
        mTime = time;
        mScheduler = scheduler;
        mMetrics = metrics;
        mClaims = claims;
    }

    @Override
    public void onCall(IncomingCall call) {
        Optional<ManagedGate> gate = mGates.managed();
        if (gate.isEmpty()) {
            Refusal refusal =
                    Refusal.notRun(
                            RefusalReason.NOT_READY,
                            "the agent has no configuration of its group yet",
                            Duration.ofMillis(200));
            mMetrics.refused(refusal.reason());
            call.refuse(refusal, UpstreamLoad.UNKNOWN);
            return;
        }
        Optional<CallRecord> record = mClaims.begin(call, gate.get().gate().load());
        if (record.isPresent()) {
            offer(call, gate.get(), record.get());
        }
    }

    private void offer(IncomingCall call, ManagedGate managed, CallRecord record) {
        AdmissionController gate = managed.gate();
        AdmissionRequest request =
                new AdmissionRequest(
                        new TeamId(call.message().getTeam()),
                        Math.max(1, call.message().getTeamWeight()),
                        call.priority(),
                        call.deadlineNanos());
        long offeredAt = mTime.nanoTime();
        RunningCall running = new RunningCall(call, managed, mTime, mMetrics, offeredAt, record);
        AdmissionController.CancelHandle waiting =
                gate.requestAdmission(
                        request,
                        new AdmissionController.Listener() {
                            @Override
                            public void onAdmitted(AdmissionController.Permit permit) {
                                running.start(permit, mClient, mScheduler);
                            }

                            @Override
                            public void onRefused(Refusal refusal) {
                                record.notRun();
                                mMetrics.refused(refusal.reason());
                                call.refuse(refusal, gate.load());
                            }
                        });
        call.onCancel(
                () -> {
                    waiting.cancel();
                    running.cancel();
                });
    }
}
