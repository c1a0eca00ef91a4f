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
import org.boragethread.model.outcome.Ran;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.place.EntryId;

/** An entry that sends claimed calls to the agents of a world. */
public final class SimEntry {

    private static final Duration DEADLINE = Duration.ofSeconds(3);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);
    private static final Refusal FAULT =
            Refusal.unknown(RefusalReason.CONNECTION_LOST, "simulated fault");

    private final ClaimWorld mWorld;
    private final SimProcess mProcess;
    private final EntryId mId;
    private final ClaimService mService;

    SimEntry(ClaimWorld world, SimProcess process, EntryId id, ClaimService service) {
        mWorld = world;
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

    public void call(EffectRequest request, Consumer<Answer> caller) {
        EffectCall.run(mService, request, new Link(request), DEADLINE)
                .thenAccept(answer -> caller.accept(toAnswer(answer)));
    }

    private static Answer toAnswer(Either<Refusal, EffectAnswer> answer) {
        return answer.isLeft()
                ? new Answer(answer.getLeft().ran(), Optional.empty())
                : new Answer(Ran.YES, Optional.of(answer.get().outcome()));
    }

    /** What a caller is told. */
    public record Answer(Ran ran, Optional<ClaimOutcome> outcome) {}

    private final class Link implements EffectSender {

        private final EffectRequest mRequest;

        Link(EffectRequest request) {
            mRequest = request;
        }

        @Override
        public Optional<ClaimTarget> choose(Set<ClaimTarget> refused) {
            boolean isBudgetLeft = refused.size() < 2 || mWorld.coin();
            return isBudgetLeft ? Optional.of(mWorld.anyAgent().target()) : Optional.empty();
        }

        @Override
        public CompletableFuture<EffectReply> send(ClaimTarget target, ClaimRef ref) {
            CompletableFuture<EffectReply> reply = new CompletableFuture<>();
            // The entry may be paused between its claim and its call.
            mProcess.schedule(mWorld.smallDelay(), () -> sendNow(target, ref, reply));
            return reply;
        }

        private void sendNow(
                ClaimTarget target, ClaimRef ref, CompletableFuture<EffectReply> reply) {
            mWorld.connect(target, ref, mRequest)
                    .thenAccept(r -> mProcess.post(() -> reply.complete(toReply(ref, r))));
            mProcess.schedule(CALL_TIMEOUT, () -> reply.complete(new EffectReply.Lost(FAULT)));
        }

        private static EffectReply toReply(ClaimRef ref, SimAgent.Reply reply) {
            return switch (reply) {
                case DONE -> new EffectReply.Answered(SimAgent.outcome(ref));
                case NOT_RUN -> new EffectReply.NotRun(FAULT);
                case FENCED -> new EffectReply.Fenced();
                default -> new EffectReply.Lost(FAULT);
            };
        }
    }
}
