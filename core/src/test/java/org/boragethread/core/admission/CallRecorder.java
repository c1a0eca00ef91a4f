package org.boragethread.core.admission;

import java.util.ArrayList;
import java.util.List;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.team.Priority;
import org.boragethread.model.team.TeamId;
import org.testng.Assert;

/** Submits calls to an admission controller and records the decisions. */
final class CallRecorder {

    private final AdmissionController mController;
    private final List<Call> mCalls = new ArrayList<>();

    CallRecorder(AdmissionController controller) {
        mController = controller;
    }

    /** A submitted call and the decisions that it received. */
    static final class Call implements AdmissionController.Listener {
        final AdmissionRequest mRequest;
        final List<AdmissionController.Permit> mPermits = new ArrayList<>();
        final List<RefusalReason> mRefusals = new ArrayList<>();
        AdmissionController.CancelHandle mCancelHandle;

        Call(AdmissionRequest request) {
            mRequest = request;
        }

        @Override
        public void onAdmitted(AdmissionController.Permit permit) {
            mPermits.add(permit);
        }

        @Override
        public void onRefused(Refusal refusal) {
            Assert.assertEquals(refusal.ran(), ExecutionStatus.NO);
            Assert.assertTrue(refusal.retryAfter().isPresent());
            mRefusals.add(refusal.reason());
        }

        int decisionCount() {
            return mPermits.size() + mRefusals.size();
        }

        boolean isAdmitted() {
            return !mPermits.isEmpty();
        }

        AdmissionController.Permit permit() {
            return mPermits.get(0);
        }
    }

    Call submit(String team, int weight, Priority priority, long deadlineNanos) {
        Call call =
                new Call(new AdmissionRequest(new TeamId(team), weight, priority, deadlineNanos));
        mCalls.add(call);
        call.mCancelHandle = mController.requestAdmission(call.mRequest, call);
        return call;
    }

    Call submit(Priority priority) {
        return submit("patrol", 1, priority, Long.MAX_VALUE);
    }

    List<Call> calls() {
        return mCalls;
    }
}
