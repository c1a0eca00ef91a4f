package org.boragethread.agent.call;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import org.boragethread.core.claim.ClaimAnswer;
import org.boragethread.core.claim.ClaimExecutionRegistry;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.outcome.Ran;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.upstream.UpstreamLoad;
import org.boragethread.wire.frame.ClaimProtoConversions;
import org.boragethread.wire.server.ClaimQueryHandler;
import org.boragethread.wire.server.IncomingCall;

/** Lets each claimed call begin at most once, and answers questions about claims. */
public final class ClaimGuard implements ClaimQueryHandler {

    private static final int MAX_CLAIMS = 20_000;
    private static final long MAX_BYTES = 8 << 20;
    private static final int MAX_OUTCOME_BYTES = 64 << 10;
    private static final Duration WINDOW = Duration.ofHours(1);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ClaimExecutionRegistry mMemory;
    private final long mIncarnation;

    /**
     * Makes a guard that knows of no claim.
     *
     * @param incarnation value that differs at every start of the agent
     */
    public ClaimGuard(long incarnation, TimeSource time) {
        ClaimExecutionRegistry.Limits limits =
                new ClaimExecutionRegistry.Limits(MAX_CLAIMS, MAX_BYTES, MAX_OUTCOME_BYTES, WINDOW);
        mMemory = new ClaimExecutionRegistry(limits, incarnation, time);
        mIncarnation = incarnation;
    }

    @Override
    public ClaimAnswer query(ClaimRef claim, long incarnation, boolean fence) {
        return mMemory.query(claim, incarnation, fence);
    }

    /**
     * Records a call as seen if it is claimed. A call that must not begin is answered here.
     *
     * @return what must be told the end of the call, or empty if the call is answered
     */
    Optional<CallRecord> begin(IncomingCall call, UpstreamLoad load) {
        if (!call.message().hasClaim()) {
            return Optional.of(CallRecord.NONE);
        }
        ClaimRef claim = ClaimProtoConversions.fromProto(call.message().getClaim());
        if (call.message().getClaim().getIncarnation() != mIncarnation) {
            call.refuse(notRun("claim %s names another run of this agent", claim), load);
            return Optional.empty();
        }
        switch (mMemory.begin(claim)) {
            case STARTED -> {
                return Optional.of(new ClaimedCall(mMemory, claim, MAX_OUTCOME_BYTES));
            }
            case FENCED ->
                    call.refuse(notRun("claim %s was given up by another entry", claim), load);
            case ALREADY_BEGUN -> answerSeen(call, claim, load);
            default -> call.refuse(forgotten(claim), load);
        }
        return Optional.empty();
    }

    private static Refusal notRun(String detail, ClaimRef claim) {
        return Refusal.notRun(RefusalReason.LEAVING, detail.formatted(claim));
    }

    private static Refusal forgotten(ClaimRef claim) {
        return Refusal.unknown(
                RefusalReason.KEY_OUTCOME_UNKNOWN,
                "claim %s is older than what the agent remembers".formatted(claim));
    }

    private void answerSeen(IncomingCall call, ClaimRef claim, UpstreamLoad load) {
        Optional<ClaimOutcome> outcome = mMemory.query(claim, mIncarnation, false).outcome();
        if (outcome.isEmpty() || outcome.get().body().isEmpty()) {
            call.refuse(
                    new Refusal(
                            RefusalReason.KEY_IN_PROGRESS,
                            Ran.UNKNOWN,
                            "claim %s has begun before".formatted(claim),
                            Optional.of(RETRY_AFTER)),
                    load);
            return;
        }
        call.sendHead(outcome.get().status(), outcome.get().contentType());
        call.sendChunk(ByteString.copyFrom(outcome.get().body().get()));
        call.sendEnd(Duration.ZERO, Duration.ZERO, load);
    }
}
