package org.boragethread.entry.gateway;

import java.util.Optional;
import org.boragethread.core.quarantine.QuarantineBlock;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.upstream.GroupId;

/** Keeps one request from upstreams while a part of its prompt, or the request, is blocked. */
final class QuarantineGuard {

    private final Gateway mGateway;
    private final RequestTrace mTrace;
    private Optional<RequestSuspects> mSuspects = Optional.empty();
    private boolean mSentAfterCrash;
    private Runnable mWatch = () -> {};

    QuarantineGuard(Gateway gateway, RequestTrace trace) {
        mGateway = gateway;
        mTrace = trace;
    }

    /**
     * Starts to watch the suspects of an admitted request.
     *
     * @param group group of the upstreams
     * @param onBlocked called when any suspect is blocked, perhaps one of another request
     */
    void start(CallerRequest request, AdmittedRequest admitted, GroupId group, Runnable onBlocked) {
        mSuspects =
                Optional.of(
                        new RequestSuspects(
                                mGateway.quarantine(),
                                group,
                                request,
                                admitted.team(),
                                admitted.sharedParts()));
        mWatch = mGateway.quarantineSync().watch(onBlocked);
    }

    void stop() {
        mWatch.run();
    }

    /** Returns what about the request may crash upstreams. */
    RequestSuspects suspects() {
        return mSuspects.orElseThrow();
    }

    /** Returns whether a suspect of the request is blocked now; if so, ends the request first. */
    boolean isRefused(RequestEnd end) {
        Optional<QuarantineBlock> block = mGateway.quarantine().findBlock(suspects().known());
        if (block.isEmpty()) {
            return false;
        }
        mTrace.blocked(block.get());
        boolean request = block.get().suspect().isRequest();
        String detail =
                "upstreams crashed %d times under %s %s"
                        .formatted(
                                block.get().crashes(),
                                request ? "request" : "part",
                                block.get().suspect());
        RefusalReason reason =
                request ? RefusalReason.REQUEST_BLOCKED : RefusalReason.PROMPT_BLOCKED;
        end.fail(reason, detail, block.get().remaining());
        return true;
    }

    /** Returns whether a suspect of the request is blocked now. */
    boolean isBlocked() {
        return mGateway.quarantine().findBlock(suspects().known()).isPresent();
    }

    /** Returns whether the request should not be repeated after an upstream broke it off. */
    boolean isSuspect() {
        return mSentAfterCrash || mGateway.quarantine().isSuspect(suspects().known());
    }

    void onSent() {
        mSentAfterCrash = suspects().hasCrashedBefore();
        mGateway.quarantine().onSent(suspects().known());
    }
}
