package org.boragethread.core.claim;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.model.claim.ClaimRef;

/**
 * Settles open claims by querying their agents. Only what an agent proves is written to the log: an
 * outcome, or a release once the agent has fenced the claim.
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
     * Queries the agent of a claim and records what the answer proves. Concurrent identical queries
     * share one request.
     *
     * @param claim an open or unresolved claim
     * @param fence whether the agent must reject the claim from now on unless it has already run it
     * @return the agent's answer, or empty if the agent cannot be reached
     */
    public CompletableFuture<Optional<ClaimAnswer>> recover(ClaimView claim, boolean fence) {
        if (claim.assignment().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        ClaimView.Assignment assignment = claim.assignment().get();
        Query query = new Query(claim.ref(), assignment.handovers(), fence);
        CompletableFuture<Optional<ClaimAnswer>> future = new CompletableFuture<>();
        CompletableFuture<Optional<ClaimAnswer>> inFlight = mQueries.putIfAbsent(query, future);
        if (inFlight != null) {
            return inFlight;
        }
        query(assignment, claim.ref(), fence)
                .thenAccept(
                        answer -> {
                            mQueries.remove(query);
                            answer.ifPresent(a -> record(claim, assignment, a, fence));
                            future.complete(answer);
                        });
        return future;
    }

    private CompletableFuture<Optional<ClaimAnswer>> query(
            ClaimView.Assignment assignment, ClaimRef ref, boolean fence) {
        CompletableFuture<Optional<ClaimAnswer>> answer;
        try {
            answer = mAgents.query(assignment.target(), ref, fence);
        } catch (RuntimeException e) {
            answer = CompletableFuture.failedFuture(e);
        }
        return answer.exceptionally(error -> onQueryFailure(assignment, error));
    }

    private static Optional<ClaimAnswer> onQueryFailure(
            ClaimView.Assignment assignment, Throwable error) {
        LOGGER.error("query to agent {} failed", assignment.target(), error);
        return Optional.empty();
    }

    private void record(
            ClaimView claim, ClaimView.Assignment assignment, ClaimAnswer answer, boolean fence) {
        LOGGER.info(
                "agent {} answered {} for claim {}",
                assignment.target(),
                answer.state(),
                claim.ref());
        if (answer.outcome().isPresent()) {
            mOutcomes.put(claim.ref(), answer.outcome().get());
            mWriter.outcome(claim.ref(), answer.outcome().get());
        } else if (answer.provesNotRun() && fence) {
            mWriter.release(claim.ref(), assignment.handovers(), ReleaseProof.AGENT_FENCED);
        } else if (answer.state() == ClaimAnswer.State.UNKNOWN
                && claim.status() == ClaimStatus.OPEN) {
            mWriter.unresolved(claim.ref(), assignment.handovers());
        }
    }

    private record Query(ClaimRef ref, int handovers, boolean fence) {}
}
