package org.boragethread.core.admission;

import java.util.ArrayList;
import java.util.List;
import org.boragethread.model.outcome.Ran;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.team.Priority;
import org.boragethread.model.team.TeamId;
import org.testng.Assert;

/** Offers calls to a gate and records each verdict. */
final class CallRecorder {

    private final Gate mGate;
    private final List<Call> mCalls = new ArrayList<>();

    CallRecorder(Gate gate) {
        mGate = gate;
    }

    /** One offered call and its verdict. */
    static final class Call implements Gate.Listener {
        final GateRequest mRequest;
        final List<Gate.Permit> mPermits = new ArrayList<>();
        final List<RefusalReason> mRefusals = new ArrayList<>();
        Gate.Waiting mWaiting;

        Call(GateRequest request) {
            mRequest = request;
        }

        @Override
        public void onAdmitted(Gate.Permit permit) {
            mPermits.add(permit);
        }

        @Override
        public void onRefused(Refusal refusal) {
            Assert.assertEquals(refusal.ran(), Ran.NO);
            Assert.assertTrue(refusal.retryAfter().isPresent());
            mRefusals.add(refusal.reason());
        }

        int verdicts() {
            return mPermits.size() + mRefusals.size();
        }

        boolean isAdmitted() {
            return !mPermits.isEmpty();
        }

        Gate.Permit permit() {
            return mPermits.get(0);
        }
    }

    Call offer(String team, int weight, Priority priority, long deadlineNanos) {
        Call call = new Call(new GateRequest(new TeamId(team), weight, priority, deadlineNanos));
        mCalls.add(call);
        call.mWaiting = mGate.offer(call.mRequest, call);
        return call;
    }

    Call offer(Priority priority) {
        return offer("patrol", 1, priority, Long.MAX_VALUE);
    }

    List<Call> calls() {
        return mCalls;
    }
}
