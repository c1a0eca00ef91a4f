package org.boragethread.agent.call;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.claim.ClaimAnswer;
import org.boragethread.core.claim.ClaimExecutionRegistry;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.upstream.UpstreamLoad;
import org.boragethread.wire.frame.ClaimProtoConversions;
import org.boragethread.wire.server.ClaimQueryHandler;
import org.boragethread.wire.server.IncomingCall;

/** Ensures that each claimed call begins at most once, and answers queries about claims. */
public final class ClaimGuard implements ClaimQueryHandler {

    private static final int MAX_CLAIMS = 20_000;
    private static final long MAX_BYTES = 8 << 20;
    private static final int MAX_OUTCOME_BYTES = 64 << 10;
    private static final Duration RETENTION = Duration.ofHours(1);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ClaimExecutionRegistry mRegistry;
    private final long mIncarnation;

    /**
     * Creates a guard with an empty registry.
     *
     * @param incarnation identifier of this run of the agent; it differs after every start
     */
    public ClaimGuard(long incarnation, TimeSource time) {
        ClaimExecutionRegistry.Limits limits =
                new ClaimExecutionRegistry.Limits(
                        MAX_CLAIMS, MAX_BYTES, MAX_OUTCOME_BYTES, RETENTION);
        mRegistry = new ClaimExecutionRegistry(limits, incarnation, time);
        mIncarnation = incarnation;
    }

    @Override
    public ClaimAnswer query(ClaimRef claim, long incarnation, boolean fence) {
        return mRegistry.query(claim, incarnation, fence);
    }

    /**
     * Registers the start of a call if it is claimed. A call that must not begin is answered here.
     *
     * @return the recorder of the call, or empty if the call has been answered
     */
    Optional<CallRecorder> begin(IncomingCall call, UpstreamLoad load) {
        if (!call.message().hasClaim()) {
            return Optional.of(CallRecorder.NO_OP);
        }
        ClaimRef claim = ClaimProtoConversions.fromProto(call.message().getClaim());
        if (call.message().getClaim().getIncarnation() != mIncarnation) {
            call.refuse(notRun("claim %s names another incarnation of this agent", claim), load);
            return Optional.empty();
        }
        switch (mRegistry.begin(claim)) {
            case STARTED -> {
                return Optional.of(new ClaimedCallRecorder(mRegistry, claim, MAX_OUTCOME_BYTES));
            }
            case FENCED -> call.refuse(notRun("claim %s was fenced by another entry", claim), load);
            case ALREADY_BEGUN -> answerAlreadyBegun(call, claim, load);
            default -> call.refuse(outcomeUnknown(claim), load);
        }
        return Optional.empty();
    }

    private static Refusal notRun(String detail, ClaimRef claim) {
        return Refusal.notRun(RefusalReason.LEAVING, detail.formatted(claim));
    }

    private static Refusal outcomeUnknown(ClaimRef claim) {
        return Refusal.unknown(
                RefusalReason.KEY_OUTCOME_UNKNOWN,
                "claim %s is older than the claims that the agent tracks".formatted(claim));
    }

    private void answerAlreadyBegun(IncomingCall call, ClaimRef claim, UpstreamLoad load) {
        Optional<ClaimOutcome> outcome = mRegistry.query(claim, mIncarnation, false).outcome();
        if (outcome.isEmpty() || outcome.get().body().isEmpty()) {
            call.refuse(
                    new Refusal(
                            RefusalReason.KEY_IN_PROGRESS,
                            ExecutionStatus.UNKNOWN,
                            "the call of claim %s has already begun".formatted(claim),
                            Optional.of(RETRY_AFTER)),
                    load);
            return;
        }
        call.sendHead(outcome.get().status(), outcome.get().contentType());
        call.sendChunk(ByteString.copyFrom(outcome.get().body().get()));
        call.sendEnd(Duration.ZERO, Duration.ZERO, load);
    }
}
