package org.boragethread.core.claim;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.boragethread.core.record.SimLog;
import org.boragethread.core.record.SimProcess;
import org.boragethread.core.time.ManualTimeSource;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.upstream.UpstreamId;

/** An agent and its upstream; the upstream's effects outlive the agent. */
final class SimAgent {

    private static final ClaimMemory.Limits LIMITS =
            new ClaimMemory.Limits(20, 100_000, 1_000, Duration.ofMinutes(5));

    private final UpstreamId mUpstream;
    private final ManualTimeSource mTime;
    private final SimLog mLog;
    private final Random mRandom;
    private final Consumer<EffectRequest> mEffect;
    private SimProcess mProcess;
    private ClaimMemory mMemory;
    private long mIncarnation;
    private double mFaults;

    SimAgent(
            UpstreamId upstream,
            ManualTimeSource time,
            SimLog log,
            Random random,
            Consumer<EffectRequest> effect) {
        mUpstream = upstream;
        mTime = time;
        mLog = log;
        mRandom = random;
        mEffect = effect;
        restart();
    }

    void restart() {
        if (mProcess != null) {
            mProcess.kill();
        }
        mProcess = new SimProcess(mLog);
        mIncarnation++;
        mMemory = new ClaimMemory(LIMITS, mIncarnation, mTime);
    }

    SimProcess process() {
        return mProcess;
    }

    ClaimTarget target() {
        return new ClaimTarget(mUpstream, mIncarnation);
    }

    void setFaults(double share) {
        mFaults = share;
    }

    /** Delivers a call over a connection to the present incarnation; the answer may be lost. */
    CompletableFuture<Reply> call(ClaimRef ref, EffectRequest request) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        SimProcess process = mProcess;
        mTime.schedule(delay(), () -> process.post(() -> onCall(ref, request, reply)));
        return reply;
    }

    private void onCall(ClaimRef ref, EffectRequest request, CompletableFuture<Reply> reply) {
        if (chance()) {
            answer(reply, Reply.NOT_RUN);
            return;
        }
        ClaimMemory.Begin begin = mMemory.begin(ref);
        if (begin != ClaimMemory.Begin.STARTED) {
            answer(reply, begin == ClaimMemory.Begin.FENCED ? Reply.FENCED : Reply.UNKNOWN);
            return;
        }
        if (chance()) {
            mMemory.notRun(ref);
            answer(reply, Reply.NOT_RUN);
            return;
        }
        mTime.schedule(delay(), () -> mEffect.accept(request));
        boolean isCut = chance();
        ClaimMemory memory = mMemory;
        mProcess.schedule(Duration.ofMillis(40), () -> onUpstream(memory, ref, isCut, reply));
    }

    private void onUpstream(
            ClaimMemory memory, ClaimRef ref, boolean isCut, CompletableFuture<Reply> reply) {
        if (isCut) {
            memory.unknown(ref);
            answer(reply, Reply.UNKNOWN);
        } else {
            memory.done(ref, outcome(ref));
            answer(reply, Reply.DONE);
        }
    }

    static ClaimOutcome outcome(ClaimRef ref) {
        return ClaimOutcome.of(200, "text/plain", ref.toString().getBytes());
    }

    private void answer(CompletableFuture<Reply> reply, Reply value) {
        if (!chance()) {
            mProcess.schedule(delay(), () -> reply.complete(value));
        }
    }

    CompletableFuture<Optional<ClaimAnswer>> ask(ClaimRef ref, long incarnation, boolean fence) {
        CompletableFuture<Optional<ClaimAnswer>> answer = new CompletableFuture<>();
        SimProcess process = mProcess;
        ClaimMemory memory = mMemory;
        mTime.schedule(
                delay(),
                () ->
                        process.post(
                                () ->
                                        answer.complete(
                                                Optional.of(memory.ask(ref, incarnation, fence)))));
        mTime.schedule(Duration.ofMillis(300), () -> answer.complete(Optional.empty()));
        return answer;
    }

    private boolean chance() {
        return mRandom.nextDouble() < mFaults;
    }

    private Duration delay() {
        return Duration.ofMillis(1 + mRandom.nextInt(10));
    }

    enum Reply {
        DONE,
        NOT_RUN,
        FENCED,
        UNKNOWN
    }
}
