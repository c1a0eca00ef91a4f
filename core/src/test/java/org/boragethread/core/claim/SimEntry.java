package org.boragethread.core.claim;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.boragethread.core.record.SimProcess;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.outcome.Ran;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.place.EntryId;

/** An entry that sends claimed calls as {@link ClaimService} demands. */
public final class SimEntry {

    private static final Duration DEADLINE = Duration.ofSeconds(3);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(400);

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
        SimAgent agent = mWorld.anyAgent();
        ClaimTarget target = agent.target();
        mService.claim(request, target, DEADLINE)
                .thenAccept(decision -> onDecision(request, target, decision, caller));
    }

    private void onDecision(
            EffectRequest request,
            ClaimTarget target,
            Either<Refusal, ClaimDecision> decision,
            Consumer<Answer> caller) {
        if (decision.isLeft()) {
            caller.accept(new Answer(decision.getLeft().ran(), Optional.empty()));
        } else if (decision.get() instanceof ClaimDecision.Replay replay) {
            caller.accept(new Answer(Ran.YES, Optional.of(replay.outcome())));
        } else {
            ClaimRef ref = ((ClaimDecision.Run) decision.get()).ref();
            Function<ClaimTarget, CompletableFuture<SimAgent.Reply>> link =
                    to -> mWorld.connect(to, ref, request);
            // The entry may be paused between its claim and its call.
            mProcess.schedule(
                    mWorld.smallDelay(), () -> new Sending(ref, link, caller).send(target));
        }
    }

    /** What a caller is told. */
    public record Answer(Ran ran, Optional<ClaimOutcome> outcome) {}

    private final class Sending {

        private final ClaimRef mRef;
        private final Function<ClaimTarget, CompletableFuture<SimAgent.Reply>> mLink;
        private final Consumer<Answer> mCaller;

        Sending(
                ClaimRef ref,
                Function<ClaimTarget, CompletableFuture<SimAgent.Reply>> link,
                Consumer<Answer> caller) {
            mRef = ref;
            mLink = link;
            mCaller = caller;
        }

        void send(ClaimTarget target) {
            CompletableFuture<SimAgent.Reply> reply = new CompletableFuture<>();
            mLink.apply(target).thenAccept(value -> mProcess.post(() -> reply.complete(value)));
            mProcess.schedule(CALL_TIMEOUT, () -> reply.complete(SimAgent.Reply.UNKNOWN));
            reply.thenAccept(this::onReply);
        }

        private void onReply(SimAgent.Reply reply) {
            switch (reply) {
                case DONE -> {
                    mService.outcome(mRef, SimAgent.outcome(mRef));
                    tell(Ran.YES, Optional.of(SimAgent.outcome(mRef)));
                }
                case NOT_RUN -> onNotRun();
                case FENCED -> {
                    mService.release(mRef, ReleaseProof.AGENT_NOT_RUN);
                    tell(Ran.NO, Optional.empty());
                }
                default ->
                        mService.resolve(mRef)
                                .thenAccept(answer -> mProcess.post(() -> onResolved(answer)));
            }
        }

        private void onNotRun() {
            if (mWorld.coin()) {
                mService.release(mRef, ReleaseProof.AGENT_NOT_RUN);
                tell(Ran.NO, Optional.empty());
                return;
            }
            ClaimTarget next = mWorld.anyAgent().target();
            mService.handover(mRef, next, Duration.ofSeconds(1))
                    .thenAccept(isInForce -> afterHandover(isInForce, next));
        }

        private void afterHandover(boolean isInForce, ClaimTarget next) {
            if (isInForce) {
                mProcess.schedule(mWorld.smallDelay(), () -> send(next));
            } else {
                // The present agent has not run the call, and no later one has received it.
                tell(Ran.NO, Optional.empty());
            }
        }

        private void onResolved(Optional<ClaimAnswer> answer) {
            boolean notRun = answer.filter(ClaimAnswer::provesNotRun).isPresent();
            Optional<ClaimOutcome> outcome = answer.flatMap(ClaimAnswer::outcome);
            if (outcome.isPresent()) {
                tell(Ran.YES, outcome);
            } else {
                tell(notRun ? Ran.NO : Ran.UNKNOWN, Optional.empty());
            }
        }

        private void tell(Ran ran, Optional<ClaimOutcome> outcome) {
            mCaller.accept(new Answer(ran, outcome));
        }
    }
}
