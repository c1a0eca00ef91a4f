package org.boragethread.entry.gateway;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.boragethread.core.placement.PlacementCoordinator;
import org.boragethread.core.placement.PlacementRefusal;
import org.boragethread.core.upstream.ChoiceRequest;
import org.boragethread.core.upstream.UpstreamChooser;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.entry.placement.PlacedAttempt;
import org.boragethread.entry.placement.PlacementOutcome;
import org.boragethread.entry.placement.PlacementRouter;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.routing.EngineLimits;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.platform.store.HeaderDecoder;
import org.boragethread.platform.store.PlatformHeaders;
import org.boragethread.wire.proto.PlacementNeeds;

/**
 * Selects the upstream of each attempt of one request. If the entries share the engines of its
 * group, the coordinator of the group selects it, else this process does.
 */
final class UpstreamSelection {

    /** Time after the deadline in which an attempt ends. */
    private static final Duration EXPIRY_SLACK = Duration.ofSeconds(1);

    private final Gateway mGateway;
    private final CallerRequest mRequest;
    private final RequestTrace mTrace;
    private Optional<RequestParts> mParts = Optional.empty();
    private final Set<UpstreamId> mRejected = new HashSet<>();
    private Optional<Selected> mSelected = Optional.empty();
    private Function<ChoiceRequest, Optional<UpstreamNode>> mLocal = choice -> Optional.empty();
    private Predicate<UpstreamNode> mCount = node -> false;
    private boolean mShared;
    private boolean mPending;
    private PlacementRouter.Waiting mWaiting = () -> {};

    /**
     * The engine that a coordinator has selected for the next attempt.
     *
     * @param uncachedTokens prompt tokens that it probably has to process
     */
    private record Selected(UpstreamNode node, long uncachedTokens, PlacedAttempt attempt) {}

    UpstreamSelection(Gateway gateway, CallerRequest request, RequestTrace trace) {
        mGateway = gateway;
        mRequest = request;
        mTrace = trace;
    }

    void start(RequestParts parts) {
        mParts = Optional.of(parts);
        mShared = parts.group().engine().isPresent() && mGateway.settings().scheduling().isShared();
    }

    /**
     * Selects an upstream, at once or when the coordinator has decided. During a roll-out of the
     * group this process selects by itself, since it limits what it sends to each version.
     *
     * @param local selects an upstream by what this process knows, and counts the send to it
     * @param count counts the send to an engine that the coordinator has selected; returns whether
     *     the request may be sent there
     * @param receiver gets the upstream; empty if none may be called now
     * @param end ends the request if it is hopeless
     */
    void select(
            Function<ChoiceRequest, Optional<UpstreamNode>> local,
            Predicate<UpstreamNode> count,
            Consumer<Optional<UpstreamNode>> receiver,
            RequestEnd end) {
        mLocal = local;
        mCount = count;
        if (!mShared) {
            receiver.accept(mLocal.apply(parts().placement().choiceRequest()));
        } else if (mGateway.rollouts().isRunning(group())) {
            receiver.accept(mLocal.apply(choiceWithinShare()));
        } else if (!mPending) {
            mRejected.clear();
            ask(receiver, end);
        }
    }

    /**
     * Selects an engine without the coordinator, as other entries may do at the same time. Of equal
     * ones each entry prefers another one, since idle engines are equal for all.
     */
    private Optional<UpstreamNode> selectLocally() {
        String entry = mGateway.settings().peerAddress();
        long seed = Hashing.komihash5_0().hashCharsToLong(entry);
        return mLocal.apply(choiceWithinShare().withTieSeed(seed));
    }

    /** Returns the selection criteria for engines with room in this process's share of memory. */
    private ChoiceRequest choiceWithinShare() {
        List<UpstreamNode> full =
                MemoryShare.findFull(
                        mGateway,
                        parts().group(),
                        parts().admitted().promptTokens(),
                        outputTokens());
        return parts().placement().choiceWithout(full);
    }

    private long outputTokens() {
        return HeaderDecoder.maxOutputTokens(mRequest.headers().get(PlatformHeaders.TOKENS))
                .orElse(0);
    }

    private void ask(Consumer<Optional<UpstreamNode>> receiver, RequestEnd end) {
        ChoiceRequest choice = parts().placement().choiceRequest();
        Optional<Set<UpstreamId>> unusable = mGateway.chooser().unusable(choice);
        if (unusable.isEmpty()) {
            receiver.accept(selectLocally());
            return;
        }
        unusable.get().addAll(mRejected);
        PlacementNeeds.Builder needs = needs(choice);
        unusable.get().forEach(id -> needs.addUnusable(id.value()));
        mPending = true;
        Outcome outcome = new Outcome(receiver, end);
        PlacementRouter.Waiting waiting = mGateway.placements().place(group(), needs, outcome);
        if (!outcome.mDecided) {
            mWaiting = waiting;
        }
    }

    /** Describes the request. All times are those that remain. */
    private PlacementNeeds.Builder needs(ChoiceRequest choice) {
        AdmittedRequest admitted = parts().admitted();
        long now = mGateway.time().nanoTime();
        boolean begun = parts().stream().isStarted();
        // A caller that is reading has waited from the last event on, not from the beginning.
        long target =
                begun ? now + admitted.route().targetLatency().toNanos() : admitted.targetNanos();
        PlacementNeeds.Builder needs =
                PlacementNeeds.newBuilder()
                        .setRequestId(mRequest.id())
                        .setPrefixHash(admitted.affinity())
                        .setPrefixTokens(admitted.prefixTokens())
                        .setPromptTokens(admitted.promptTokens())
                        .setOutputTokens(outputTokens())
                        .setPriority(admitted.priority())
                        .setTeam(admitted.team())
                        .setTargetLeftNanos(target - now)
                        .setDeadlineLeftNanos(deadline() - now)
                        .setExpiryLeftNanos(admitted.deadlineNanos() + EXPIRY_SLACK.toNanos() - now)
                        .setInputDataCentre(
                                choice.inputDataCentre()
                                        .orElse(mGateway.settings().dataCentre())
                                        .value())
                        .setRemoteMillis(choice.remoteMillis())
                        .addAllRegions(choice.regions());
        choice.softwareVersion().map(SoftwareVersion::value).ifPresent(needs::setRequiredVersion);
        return needs;
    }

    /** Returns when the first event is of no use any more: its caller has given up by then. */
    private long deadline() {
        EventDeadline deadline =
                new EventDeadline(
                        mGateway.settings().scheduling(),
                        mGateway.time(),
                        mRequest.arrivedAt().nanos(),
                        parts().stream()::lastEventAt);
        return deadline.nanos(parts().admitted());
    }

    /** Returns the number of prompt tokens that an upstream probably has to process. */
    long uncachedTokens(UpstreamNode node) {
        return mSelected
                .filter(selected -> selected.node() == node)
                .map(Selected::uncachedTokens)
                .orElseGet(() -> parts().admitted().uncachedTokens(node));
    }

    /** Called before an attempt is sent, so that the coordinator is told what becomes of it. */
    void onSending(UpstreamAttempt attempt) {
        if (!mShared) {
            return;
        }
        Optional<Selected> selected = mSelected.filter(present -> present.node() == attempt.node());
        mSelected = Optional.empty();
        attempt.reportTo(
                selected.map(Selected::attempt)
                        .orElseGet(
                                () ->
                                        mGateway.placements()
                                                .track(
                                                        group(),
                                                        needs(parts().placement().choiceRequest()),
                                                        attempt.node().entry().id())));
    }

    /** Ends the selection, because the request has ended. */
    void stop() {
        mWaiting.cancel();
        mSelected.ifPresent(selected -> selected.attempt().onRejected());
        mSelected = Optional.empty();
        mPending = false;
    }

    /**
     * Ends the request and returns true if it fits into no engine's memory, which is known before
     * its stages run.
     */
    boolean isTooLarge(RequestEnd end) {
        if (!mShared || !mGateway.settings().scheduling().engineMemoryEnforced()) {
            return false;
        }
        EngineLimits limits = parts().group().engine().orElseThrow();
        long tokens = limits.memoryTokens(parts().admitted().promptTokens(), outputTokens());
        if (tokens <= limits.cacheTokens()) {
            return false;
        }
        failTooLarge(end, PlacementCoordinator.TOO_LARGE_RETRY);
        return true;
    }

    private void failTooLarge(RequestEnd end, Duration retryAfter) {
        String detail =
                "prompt and output exceed the memory of an engine of %s, %d tokens: ask for less"
                        .formatted(
                                group(),
                                parts().group().engine().map(EngineLimits::cacheTokens).orElse(0L));
        end.fail(RefusalReason.NO_UPSTREAM, detail, retryDelay(retryAfter));
    }

    private Duration retryDelay(Duration delay) {
        return RetryDelays.afterRejection(delay, mRequest.unitHash());
    }

    private RequestParts parts() {
        return mParts.orElseThrow();
    }

    private GroupId group() {
        return parts().group().id();
    }

    /** Handles the decision about one question. */
    private final class Outcome implements PlacementOutcome {

        private final Consumer<Optional<UpstreamNode>> mReceiver;
        private final RequestEnd mEnd;
        private boolean mDecided;

        Outcome(Consumer<Optional<UpstreamNode>> receiver, RequestEnd end) {
            mReceiver = receiver;
            mEnd = end;
        }

        private void onDecided() {
            mDecided = true;
            mPending = false;
        }

        @Override
        public void onPlaced(UpstreamId engine, boolean prefixCached, PlacedAttempt attempt) {
            onDecided();
            UpstreamChooser chooser = mGateway.chooser();
            ChoiceRequest choice = parts().placement().choiceRequest();
            Optional<UpstreamNode> known = mGateway.directory().find(engine);
            PlacedEngineCheck check =
                    new PlacedEngineCheck(
                            node -> chooser.isCallable(choice, node),
                            mCount,
                            () -> mGateway.rollouts().isRunning(group()));
            Optional<UpstreamNode> usable = check.accept(known);
            if (usable.isEmpty()) {
                attempt.onRejected();
                mTrace.placementRejected(engine, known.isPresent());
                mRejected.add(engine);
                if (check.isAskedAgain(mRejected.size())) {
                    ask(mReceiver, mEnd);
                } else {
                    mReceiver.accept(selectLocally());
                }
                return;
            }
            AdmittedRequest admitted = parts().admitted();
            long cachedTokens = prefixCached ? admitted.prefixTokens() : 0;
            mSelected =
                    Optional.of(
                            new Selected(
                                    usable.get(), admitted.promptTokens() - cachedTokens, attempt));
            mReceiver.accept(usable);
        }

        @Override
        public void onRefused(PlacementRefusal.Reason reason, Duration retryAfter) {
            onDecided();
            if (reason == PlacementRefusal.Reason.NO_ENGINE) {
                // The coordinator may know fewer engines than this process.
                mReceiver.accept(selectLocally());
                return;
            }
            if (reason == PlacementRefusal.Reason.TOO_LARGE) {
                failTooLarge(mEnd, retryAfter);
                return;
            }
            mEnd.fail(RefusalReason.DEADLINE_HOPELESS, hopeless(reason), retryDelay(retryAfter));
        }

        private String hopeless(PlacementRefusal.Reason reason) {
            return reason == PlacementRefusal.Reason.EXPIRED
                    ? "no engine of %s was free in time".formatted(group())
                    : "no engine of %s can respond in time".formatted(group());
        }

        @Override
        public void onUnavailable() {
            onDecided();
            mReceiver.accept(selectLocally());
        }
    }
}
