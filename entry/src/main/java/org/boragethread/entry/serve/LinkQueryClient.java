package org.boragethread.entry.serve;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.boragethread.core.claim.AgentQueryClient;
import org.boragethread.core.claim.ClaimAnswer;
import org.boragethread.core.dispatch.UpstreamLink;
import org.boragethread.core.dispatch.UpstreamTable;
import org.boragethread.core.time.Scheduler;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;

/** Queries agents about claims over this entry's connections to them. */
final class LinkQueryClient implements AgentQueryClient {

    private final UpstreamTable mUpstreams;
    private final Scheduler mScheduler;
    private final Duration mTimeout;

    /**
     * Creates a client.
     *
     * @param timeout maximum time to wait for a response
     */
    LinkQueryClient(UpstreamTable upstreams, Scheduler scheduler, Duration timeout) {
        mUpstreams = upstreams;
        mScheduler = scheduler;
        mTimeout = timeout;
    }

    @Override
    public CompletableFuture<Optional<ClaimAnswer>> query(
            ClaimTarget target, ClaimRef ref, boolean fence) {
        List<UpstreamLink> links =
                mUpstreams.all().stream()
                        .filter(link -> link.upstream().equals(target.upstream()))
                        .toList();
        for (UpstreamLink link : links) {
            if (link.incarnation() == target.incarnation()) {
                return withTimeout(link.queryClaim(ref, fence));
            }
        }
        Optional<ClaimAnswer> answer =
                links.isEmpty()
                        ? Optional.empty()
                        : Optional.of(ClaimAnswer.of(ClaimAnswer.State.UNKNOWN));
        return CompletableFuture.completedFuture(answer);
    }

    private CompletableFuture<Optional<ClaimAnswer>> withTimeout(
            CompletableFuture<Optional<ClaimAnswer>> answer) {
        Scheduler.Timer timer =
                mScheduler.schedule(mTimeout, () -> answer.complete(Optional.empty()));
        answer.thenAccept(value -> timer.cancel());
        return answer;
    }
}
