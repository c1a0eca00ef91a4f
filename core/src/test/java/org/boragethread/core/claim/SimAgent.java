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

/** Simulated agent and its upstream; effects at the upstream survive a crash of the agent. */
final class SimAgent {

    private static final ClaimExecutionRegistry.Limits LIMITS =
            new ClaimExecutionRegistry.Limits(20, 100_000, 1_000, Duration.ofMinutes(5));

    private final UpstreamId mUpstream;
    private final ManualTimeSource mTime;
    private final SimLog mLog;
    private final Random mRandom;
    private final Consumer<ClaimRequest> mEffect;
    private SimProcess mProcess;
    private ClaimExecutionRegistry mRegistry;
    private long mIncarnation;
    private double mFaultProbability;

    SimAgent(
            UpstreamId upstream,
            ManualTimeSource time,
            SimLog log,
            Random random,
            Consumer<ClaimRequest> effect) {
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
        mRegistry = new ClaimExecutionRegistry(LIMITS, mIncarnation, mTime);
    }

    SimProcess process() {
        return mProcess;
    }

    ClaimTarget target() {
        return new ClaimTarget(mUpstream, mIncarnation);
    }

    void setFaultProbability(double probability) {
        mFaultProbability = probability;
    }

    /** Delivers a call over a connection to the current incarnation; the reply may be lost. */
    CompletableFuture<Reply> call(ClaimRef ref, ClaimRequest request) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        SimProcess process = mProcess;
        mTime.schedule(delay(), () -> process.post(() -> onCall(ref, request, reply)));
        return reply;
    }

    private void onCall(ClaimRef ref, ClaimRequest request, CompletableFuture<Reply> reply) {
        if (drawFault()) {
            answer(reply, Reply.NOT_RUN);
            return;
        }
        ClaimExecutionRegistry.BeginResult begin = mRegistry.begin(ref);
        if (begin != ClaimExecutionRegistry.BeginResult.STARTED) {
            answer(
                    reply,
                    begin == ClaimExecutionRegistry.BeginResult.FENCED
                            ? Reply.FENCED
                            : Reply.UNKNOWN);
            return;
        }
        if (drawFault()) {
            mRegistry.recordNotRun(ref);
            answer(reply, Reply.NOT_RUN);
            return;
        }
        mTime.schedule(delay(), () -> mEffect.accept(request));
        boolean isConnectionLost = drawFault();
        ClaimExecutionRegistry registry = mRegistry;
        mProcess.schedule(
                Duration.ofMillis(40),
                () -> onUpstreamAnswer(registry, ref, isConnectionLost, reply));
    }

    private void onUpstreamAnswer(
            ClaimExecutionRegistry registry,
            ClaimRef ref,
            boolean isConnectionLost,
            CompletableFuture<Reply> reply) {
        if (isConnectionLost) {
            registry.recordUnknown(ref);
            answer(reply, Reply.UNKNOWN);
        } else {
            registry.recordOutcome(ref, outcome(ref));
            answer(reply, Reply.DONE);
        }
    }

    static ClaimOutcome outcome(ClaimRef ref) {
        return ClaimOutcome.of(200, "text/plain", ref.toString().getBytes());
    }

    private void answer(CompletableFuture<Reply> reply, Reply value) {
        if (!drawFault()) {
            mProcess.schedule(delay(), () -> reply.complete(value));
        }
    }

    CompletableFuture<Optional<ClaimAnswer>> query(ClaimRef ref, long incarnation, boolean fence) {
        CompletableFuture<Optional<ClaimAnswer>> answer = new CompletableFuture<>();
        SimProcess process = mProcess;
        ClaimExecutionRegistry registry = mRegistry;
        mTime.schedule(
                delay(),
                () ->
                        process.post(
                                () ->
                                        answer.complete(
                                                Optional.of(
                                                        registry.query(ref, incarnation, fence)))));
        mTime.schedule(Duration.ofMillis(300), () -> answer.complete(Optional.empty()));
        return answer;
    }

    private boolean drawFault() {
        return mRandom.nextDouble() < mFaultProbability;
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
