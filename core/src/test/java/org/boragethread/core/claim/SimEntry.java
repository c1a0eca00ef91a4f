package org.boragethread.core.claim;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.boragethread.core.record.SimProcess;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.place.EntryId;

/** Simulated entry that sends claimed calls to the agents of a simulation. */
public final class SimEntry {

    private static final Duration DEADLINE = Duration.ofSeconds(3);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);
    private static final Refusal FAULT =
            Refusal.unknown(RefusalReason.CONNECTION_LOST, "simulated fault");

    private final ClaimSimulation mSimulation;
    private final SimProcess mProcess;
    private final EntryId mId;
    private final ClaimService mService;

    SimEntry(ClaimSimulation simulation, SimProcess process, EntryId id, ClaimService service) {
        mSimulation = simulation;
        mProcess = process;
        mId = id;
        mService = service;
    }

    public EntryId id() {
        return mId;
    }

    public SimProcess process() {
        return mProcess;
    }

    ClaimService service() {
        return mService;
    }

    public void call(ClaimRequest request, Consumer<Answer> caller) {
        AtMostOnceCall.run(mService, request, new SimSender(request), DEADLINE)
                .thenAccept(answer -> caller.accept(toAnswer(answer)));
    }

    private static Answer toAnswer(Either<Refusal, AtMostOnceResult> answer) {
        return answer.isLeft()
                ? new Answer(answer.getLeft().ran(), Optional.empty())
                : new Answer(ExecutionStatus.YES, Optional.of(answer.get().outcome()));
    }

    /** The answer to a caller. */
    public record Answer(ExecutionStatus ran, Optional<ClaimOutcome> outcome) {}

    private final class SimSender implements ClaimedCallSender {

        private final ClaimRequest mRequest;

        SimSender(ClaimRequest request) {
            mRequest = request;
        }

        @Override
        public Optional<ClaimTarget> chooseTarget(Set<ClaimTarget> refused) {
            boolean isBudgetLeft = refused.size() < 2 || mSimulation.randomBoolean();
            return isBudgetLeft ? Optional.of(mSimulation.anyAgent().target()) : Optional.empty();
        }

        @Override
        public CompletableFuture<ClaimedCallReply> send(ClaimTarget target, ClaimRef ref) {
            CompletableFuture<ClaimedCallReply> reply = new CompletableFuture<>();
            // Allows the entry to be paused between its claim and its call.
            mProcess.schedule(mSimulation.randomDelay(), () -> sendNow(target, ref, reply));
            return reply;
        }

        private void sendNow(
                ClaimTarget target, ClaimRef ref, CompletableFuture<ClaimedCallReply> reply) {
            mSimulation
                    .connect(target, ref, mRequest)
                    .thenAccept(r -> mProcess.post(() -> reply.complete(toReply(ref, r))));
            mProcess.schedule(CALL_TIMEOUT, () -> reply.complete(new ClaimedCallReply.Lost(FAULT)));
        }

        private static ClaimedCallReply toReply(ClaimRef ref, SimAgent.Reply reply) {
            return switch (reply) {
                case DONE -> new ClaimedCallReply.Answered(SimAgent.outcome(ref));
                case NOT_RUN -> new ClaimedCallReply.NotRun(FAULT);
                case FENCED -> new ClaimedCallReply.Fenced();
                default -> new ClaimedCallReply.Lost(FAULT);
            };
        }
    }
}
