package org.boragethread.agent.call;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.agent.upstream.UpstreamClient;
import org.boragethread.core.admission.Gate;
import org.boragethread.core.admission.GateRequest;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.team.TeamId;
import org.boragethread.model.upstream.UpstreamLoad;
import org.boragethread.wire.server.CallHandler;
import org.boragethread.wire.server.ServedCall;

/** Takes calls from entries, asks the gate, and runs admitted calls on the upstream. */
public final class CallController implements CallHandler {

    private final GateHolder mGates;
    private final UpstreamClient mClient;
    private final TimeSource mTime;
    private final Scheduler mScheduler;
    private final CallMetrics mMetrics;

    /** Runs calls that a gate admits on a client. */
    public CallController(
            GateHolder gates,
            UpstreamClient client,
            TimeSource time,
            Scheduler scheduler,
            CallMetrics metrics) {
        mGates = gates;
        mClient = client;
        mTime = time;
        mScheduler = scheduler;
        mMetrics = metrics;
    }

    @Override
    public void onCall(ServedCall call) {
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
        offer(call, gate.get());
    }

    private void offer(ServedCall call, ManagedGate managed) {
        Gate gate = managed.gate();
        GateRequest request =
                new GateRequest(
                        new TeamId(call.message().getTeam()),
                        Math.max(1, call.message().getTeamWeight()),
                        call.priority(),
                        call.deadlineNanos());
        long offeredAt = mTime.nanoTime();
        RunningCall running = new RunningCall(call, managed, mTime, mMetrics, offeredAt);
        Gate.Waiting waiting =
                gate.offer(
                        request,
                        new Gate.Listener() {
                            @Override
                            public void onAdmitted(Gate.Permit permit) {
                                running.start(permit, mClient, mScheduler);
                            }

                            @Override
                            public void onRefused(Refusal refusal) {
                                mMetrics.refused(refusal.reason());
                                call.refuse(refusal, gate.load());
                            }
                        });
        call.onCancel(
                () -> {
                    waiting.withdraw();
                    running.cancel();
                });
    }
}
