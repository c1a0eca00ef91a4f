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

/** Receives calls from entries, requests their admission, and sends admitted calls upstream. */
public final class CallController implements CallHandler {

    private final AdmissionControllerHolder mAdmission;
    private final UpstreamClient mClient;
    private final TimeSource mTime;
    private final Scheduler mScheduler;
    private final CallMetrics mMetrics;
    private final ClaimGuard mClaims;

    /** Creates a controller that sends admitted calls with a client. */
    public CallController(
            AdmissionControllerHolder admission,
            UpstreamClient client,
            TimeSource time,
            Scheduler scheduler,
            CallMetrics metrics,
            ClaimGuard claims) {
        mAdmission = admission;
        mClient = client;
        mTime = time;
        mScheduler = scheduler;
        mMetrics = metrics;
        mClaims = claims;
    }

    @Override
    public void onCall(IncomingCall call) {
        Optional<ManagedAdmissionController> managed = mAdmission.managed();
        if (managed.isEmpty()) {
            Refusal refusal =
                    Refusal.notRun(
                            RefusalReason.NOT_READY,
                            "the agent has not yet received the configuration of its group",
                            Duration.ofMillis(200));
            mMetrics.refused(refusal.reason());
            call.refuse(refusal, UpstreamLoad.UNKNOWN);
            return;
        }
        Optional<CallRecorder> recorder = mClaims.begin(call, managed.get().controller().load());
        if (recorder.isPresent()) {
            requestAdmission(call, managed.get(), recorder.get());
        }
    }

    private void requestAdmission(
            IncomingCall call, ManagedAdmissionController managed, CallRecorder recorder) {
        AdmissionController controller = managed.controller();
        AdmissionRequest request =
                new AdmissionRequest(
                        new TeamId(call.message().getTeam()),
                        Math.max(1, call.message().getTeamWeight()),
                        call.priority(),
                        call.deadlineNanos());
        long requestedNanos = mTime.nanoTime();
        RunningCall running =
                new RunningCall(call, managed, mTime, mMetrics, requestedNanos, recorder);
        AdmissionController.CancelHandle pendingAdmission =
                controller.requestAdmission(
                        request,
                        new AdmissionController.Listener() {
                            @Override
                            public void onAdmitted(AdmissionController.Permit permit) {
                                running.start(permit, mClient, mScheduler);
                            }

                            @Override
                            public void onRefused(Refusal refusal) {
                                recorder.onNotRun();
                                mMetrics.refused(refusal.reason());
                                call.refuse(refusal, controller.load());
                            }
                        });
        call.onCancel(
                () -> {
                    pendingAdmission.cancel();
                    running.cancel();
                });
    }
}
