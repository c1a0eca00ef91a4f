package org.boragethread.entry.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.quarantine.QuarantineBlock;
import org.boragethread.core.quarantine.Suspect;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.upstream.GroupId;

/** Keeps one request from upstreams while a part of its prompt is blocked. */
final class QuarantineGuard {

    private final Gateway mGateway;
    private final RequestTrace mTrace;
    private List<Suspect> mParts = List.of();
    private Runnable mWatch = () -> {};

    QuarantineGuard(Gateway gateway, RequestTrace trace) {
        mGateway = gateway;
        mTrace = trace;
    }

    /**
     * Starts to watch the parts of the prompt.
     *
     * @param group group of the upstreams
     * @param onBlocked called when any part is blocked, perhaps one of another prompt
     */
    void start(GroupId group, List<Long> parts, Runnable onBlocked) {
        mParts = parts.stream().map(id -> new Suspect(group, id)).toList();
        if (!mParts.isEmpty()) {
            mWatch = mGateway.quarantineSync().watch(onBlocked);
        }
    }

    void stop() {
        mWatch.run();
    }

    /** Returns the parts of the prompt that other requests may have too. */
    Collection<Suspect> parts() {
        return mParts;
    }

    /** Returns whether a part of the prompt is blocked now; if so, ends the request first. */
    boolean isRefused(RequestEnd end) {
        Optional<QuarantineBlock> block = mGateway.quarantine().findBlock(mParts);
        if (block.isEmpty()) {
            return false;
        }
        mTrace.blocked(block.get());
        String detail =
                "upstreams crashed %d times under part %s"
                        .formatted(block.get().crashes(), block.get().part());
        end.fail(RefusalReason.PROMPT_BLOCKED, detail, block.get().remaining());
        return true;
    }

    /** Returns whether the request should not be repeated after an upstream broke it off. */
    boolean isSuspect() {
        return mGateway.quarantine().isSuspect(mParts);
    }

    void onSent() {
        mGateway.quarantine().onSent(mParts);
    }
}
