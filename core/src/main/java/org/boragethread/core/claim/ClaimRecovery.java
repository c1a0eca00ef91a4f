package org.boragethread.core.claim;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.model.claim.ClaimRef;

/**
 * Settles an open claim by asking the agent that it names. Only what the agent proves goes into the
 * log: an outcome, or a release once the agent refuses the claim for good.
 */
public final class ClaimRecovery {

    private static final Logger LOGGER = LogManager.getLogger(ClaimRecovery.class);

    private final AgentQueryClient mAgents;
    private final ClaimWriter mWriter;
    private final OutcomeCache mOutcomes;
    private final Map<Query, CompletableFuture<Optional<ClaimAnswer>>> mQueries =
            new ConcurrentHashMap<>();

    ClaimRecovery(AgentQueryClient agents, ClaimWriter writer, OutcomeCache outcomes) {
        mAgents = agents;
        mWriter = writer;
        mOutcomes = outcomes;
    }

    /**
     * Asks the claim's agent and records what it proves. Questions about the same claim are asked
     * once at a time.
     *
     * @param claim an open or unresolved claim
     * @param fence whether the agent must refuse the claim from now on unless it has run it
     * @return the agent's answer, or empty if it cannot be reached now
     */
    public CompletableFuture<Optional<ClaimAnswer>> recover(ClaimView claim, boolean fence) {
        if (claim.assignment().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        ClaimView.Assignment open = claim.assignment().get();
        Query question = new Query(claim.ref(), open.handovers(), fence);
        CompletableFuture<Optional<ClaimAnswer>> mine = new CompletableFuture<>();
        CompletableFuture<Optional<ClaimAnswer>> earlier = mQueries.putIfAbsent(question, mine);
        if (earlier != null) {
            return earlier;
        }
        query(open, claim.ref(), fence)
                .thenAccept(
                        answer -> {
                            mQueries.remove(question);
                            answer.ifPresent(a -> record(claim, open, a, fence));
                            mine.complete(answer);
                        });
        return mine;
    }

    private CompletableFuture<Optional<ClaimAnswer>> query(
            ClaimView.Assignment open, ClaimRef ref, boolean fence) {
        CompletableFuture<Optional<ClaimAnswer>> answer;
        try {
            answer = mAgents.query(open.target(), ref, fence);
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(e);
        }
        return answer.exceptionally(error -> onQueryFailure(open, error));
    }

    private static Optional<ClaimAnswer> onQueryFailure(
            ClaimView.Assignment open, Throwable error) {
        LOGGER.error("asking agent {} failed", open.target(), error);
        return Optional.empty();
    }

    private void record(
            ClaimView claim, ClaimView.Assignment open, ClaimAnswer answer, boolean fence) {
        LOGGER.info("agent {} answers {} to claim {}", open.target(), answer.state(), claim.ref());
        if (answer.outcome().isPresent()) {
            mOutcomes.put(claim.ref(), answer.outcome().get());
            mWriter.outcome(claim.ref(), answer.outcome().get());
        } else if (answer.provesNotRun() && fence) {
            mWriter.release(claim.ref(), open.handovers(), ReleaseProof.AGENT_FENCED);
        } else if (answer.state() == ClaimAnswer.State.UNKNOWN
                && claim.status() == ClaimStatus.OPEN) {
            mWriter.unresolved(claim.ref(), open.handovers());
        }
    }

    private record Query(ClaimRef ref, int handovers, boolean fence) {}
}
