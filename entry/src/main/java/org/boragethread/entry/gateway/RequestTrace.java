package org.boragethread.entry.gateway;

import io.netty.util.AsciiString;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.boragethread.core.quarantine.QuarantineBlock;
import org.boragethread.core.resume.StreamOrigin;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.platform.store.PlatformHeaders;
import org.boragethread.process.log.EventLog;

/** Logs and counts the decisions taken for one request. */
final class RequestTrace {

    private static final int MAX_LOGGED_PARTS = 16;

    private static final int MAX_LOGGED_HEADER = 64;

    /** Shorter waits are those between two searches for an upstream. */
    private static final Duration MIN_LOGGED_WAIT = UpstreamSearch.INTERVAL.plusMillis(1);

    private final Gateway mGateway;
    private final CallerRequest mRequest;
    private long mFirstByteMillis = -1;
    private boolean mHeldBack;
    private String mTeam = "";

    RequestTrace(Gateway gateway, CallerRequest request) {
        mGateway = gateway;
        mRequest = request;
    }

    void admitted(AdmittedRequest admitted, Duration remaining) {
        mTeam = admitted.team();
        EventLog.Line line =
                mGateway.log()
                        .event("admitted", mRequest.id())
                        .with("route", admitted.route().name())
                        .with("team", admitted.team())
                        .with(
                                "configVersion",
                                mGateway.routingTable()
                                        .config()
                                        .map(config -> config.version())
                                        .orElse(-1L))
                        .with("configAgeMs", configAgeMillis())
                        .with("remainingMs", remaining.toMillis())
                        .with("parts", formatParts(admitted.sharedParts()));
        logHeader(line, "lastEvent", PlatformHeaders.LAST_EVENT_ID);
        logHeader(line, "resumes", PlatformHeaders.RESUMES);
        line.info();
    }

    /** Adds the value of a header if the caller sent one, cut off to bound the line. */
    private void logHeader(EventLog.Line line, String field, AsciiString name) {
        String value = mRequest.headers().get(name);
        if (value != null) {
            line.with(field, value.substring(0, Math.min(value.length(), MAX_LOGGED_HEADER)));
        }
    }

    /** Formats the IDs of parts of a prompt; a long list is cut off to bound the line. */
    private static String formatParts(List<Long> parts) {
        return parts.stream()
                .limit(MAX_LOGGED_PARTS)
                .map(Long::toHexString)
                .collect(Collectors.joining(","));
    }

    void blocked(QuarantineBlock block) {
        mGateway.log()
                .event("part-blocked", mRequest.id())
                .with("part", block.suspect())
                .with("crashes", block.crashes())
                .with("firstReporter", block.firstReporter())
                .with("ageMs", block.age().toMillis())
                .with("remainingMs", block.remaining().toMillis())
                .info();
    }

    void sent(UpstreamNode node, int sends, Duration remaining, Optional<String> lastEvent) {
        EventLog.Line line =
                mGateway.log()
                        .event("sent", mRequest.id())
                        .with("upstream", node.entry().id())
                        .with("group", node.entry().group())
                        .with("dataCentre", node.entry().dataCentre())
                        .with("sends", sends)
                        .with("unfinishedCalls", node.inFlight())
                        .with("slowness", Math.round(node.slowness() * 100) / 100.0)
                        .with("remainingMs", remaining.toMillis())
                        .with("version", softwareVersion(node));
        lastEvent.ifPresent(id -> line.with("resumedAfter", id));
        node.namedRateLimit().perSecond().ifPresent(rate -> line.with("rateLimit", rate));
        line.info();
    }

    private static String softwareVersion(UpstreamNode node) {
        return node.entry().softwareVersion().map(SoftwareVersion::value).orElse("");
    }

    /** Records what is known of a stream that the caller takes up. */
    void takenUp(Optional<StreamOrigin> origin) {
        String version =
                origin.flatMap(StreamOrigin::version).map(SoftwareVersion::value).orElse("");
        String outcome = origin.isEmpty() ? "unknown" : version.isEmpty() ? "uncertain" : "known";
        mGateway.metrics().onStreamOrigin(outcome);
        mGateway.log()
                .event("taken-up", mRequest.id())
                .with("outcome", outcome)
                .with("version", version)
                .with("group", origin.map(known -> known.group().value()).orElse(""))
                .with("ageMs", age().toMillis())
                .info();
    }

    /** Logs the first longer wait for an upstream that pauses or names a limit. */
    void waiting(Duration delay) {
        if (mHeldBack || delay.compareTo(MIN_LOGGED_WAIT) < 0) {
            return;
        }
        mHeldBack = true;
        mGateway.metrics().onHeldBack();
        mGateway.log()
                .event("held-back", mRequest.id())
                .with("delayMs", delay.toMillis())
                .with("ageMs", age().toMillis())
                .info();
    }

    /** Records that this process may not use the engine that a coordinator has chosen. */
    void placementRejected(UpstreamId engine, boolean known) {
        mGateway.log()
                .event("placement", mRequest.id())
                .with("outcome", "rejected")
                .with("upstream", engine)
                .with("reason", known ? "not-callable" : "unknown")
                .info();
    }

    void retried(String reason, int sends, Duration remaining) {
        mGateway.metrics().onRetry(reason);
        mGateway.log()
                .event("repeated", mRequest.id())
                .with("reason", reason)
                .with("sends", sends)
                .with("remainingMs", remaining.toMillis())
                .info();
    }

    void retryDenied(RetryPermit.Denial denial) {
        mGateway.log()
                .event("repeat-denied", mRequest.id())
                .with("reason", denial.reason())
                .with("cause", denial.cause())
                .with("attemptsLeft", denial.attemptsLeft())
                .with("retriesLeft", denial.retriesLeft())
                .with("remainingMs", denial.remaining().toMillis())
                .warn();
    }

    /** Records the time at which the first part of the response body arrived. */
    void responseStarted() {
        mFirstByteMillis = age().toMillis();
    }

    void answered(UpstreamNode node, int status, int sends, ResponseProgress progress) {
        mGateway.metrics().onResponse(status, age());
        mGateway.log()
                .event("answered", mRequest.id())
                .with("status", status)
                .with("upstream", node.entry().id())
                .with("sends", sends)
                .with("begunMs", mFirstByteMillis)
                .with("ageMs", age().toMillis())
                .with("framing", progress.framing())
                .with("bytes", progress.bytes())
                .with("events", progress.events())
                .with("partialEventBytes", progress.partialEventBytes())
                .info();
    }

    /** Records a decision at an upstream that is silent. */
    void stalled(StallDecision decision) {
        String outcome = decision.keptBecause().isEmpty() ? "second-attempt" : "kept";
        mGateway.metrics().onStall(outcome);
        mGateway.log()
                .event("stalled", mRequest.id())
                .with("upstream", decision.node().entry().id())
                .with("outcome", outcome)
                .with("keptBecause", decision.keptBecause().orElse(""))
                .with("silentMs", decision.silence().toMillis())
                .with("timeoutMs", decision.timeout().toMillis())
                .with("begun", decision.begun())
                .with("attemptsLeft", decision.attemptsLeft())
                .with("retriesLeft", decision.retriesLeft())
                .with("otherCallable", decision.callable())
                .with("remainingMs", decision.remaining().toMillis())
                .warn();
    }

    /** Records how a second attempt beside that of a silent upstream ended, or that it goes on. */
    void standbyEnded(UpstreamNode node, String outcome, Duration remaining) {
        mGateway.metrics().onStall(outcome);
        mGateway.log()
                .event("standby", mRequest.id())
                .with("upstream", node.entry().id())
                .with("outcome", outcome)
                .with("remainingMs", remaining.toMillis())
                .info();
    }

    /** Records that a response waits until the software version of an upstream is certain. */
    void versionAwaited(UpstreamNode node, VersionWait.Cause cause) {
        mGateway.log()
                .event("version-wait", mRequest.id())
                .with("upstream", node.entry().id())
                .with("reason", cause.label())
                .with("outcome", "waiting")
                .with("version", softwareVersion(node))
                .with("ageMs", age().toMillis())
                .info();
    }

    /**
     * Records the end of such a wait.
     *
     * @param pending whether the version is still not decided
     */
    void versionDecided(
            UpstreamNode node, VersionWait.Cause cause, boolean pending, Duration waited) {
        String outcome = pending ? "timeout" : "decided";
        mGateway.metrics().onVersionWait(outcome);
        mGateway.log()
                .event("version-wait", mRequest.id())
                .with("upstream", node.entry().id())
                .with("reason", cause.label())
                .with("outcome", outcome)
                .with("version", softwareVersion(node))
                .with("waitedMs", waited.toMillis())
                .with("ageMs", age().toMillis())
                .info();
    }

    void refused(Refusal refusal, Decider decidedBy, int sends) {
        mGateway.metrics().onRefused(refusal.reason());
        mGateway.log()
                .event("refused", mRequest.id())
                .with("reason", refusal.reason().label())
                .with("decidedBy", decidedBy.label())
                .with("ran", refusal.ran())
                .with("detail", refusal.detail())
                .with("sends", sends)
                .with("ageMs", age().toMillis())
                .with("configAgeMs", configAgeMillis())
                .warn();
    }

    /** Records that an upstream's response ended before it was complete, or did not begin. */
    void responseBroken(
            UpstreamNode node,
            String detail,
            ResponseProgress progress,
            Optional<String> lastEvent) {
        mGateway.metrics().onBrokenConnection("upstream-response");
        mGateway.log()
                .event("response-broken", mRequest.id())
                .with("upstream", node.entry().id())
                .with("version", softwareVersion(node))
                .with("detail", detail)
                .with("framing", progress.framing())
                .with("bytes", progress.bytes())
                .with("events", progress.events())
                .with("partialEventBytes", progress.partialEventBytes())
                .with("lastEvent", lastEvent.orElse(""))
                .with("fingerprint", Long.toHexString(RequestFingerprint.of(mRequest, mTeam)))
                .with("begunMs", mFirstByteMillis)
                .with("upstreamAgeMs", node.ageMillis(mGateway.time().nanoTime()))
                .warn();
    }

    void aborted(Decider decidedBy, String detail, int sends) {
        mGateway.metrics().onBrokenConnection("stream");
        mGateway.log()
                .event("broken-off", mRequest.id())
                .with("decidedBy", decidedBy.label())
                .with("detail", detail)
                .with("sends", sends)
                .with("begunMs", mFirstByteMillis)
                .with("ageMs", age().toMillis())
                .with("configAgeMs", configAgeMillis())
                .warn();
    }

    /** Records that the caller left, with the latest attempt. */
    void cancelled(int sends, Optional<UpstreamAttempt> attempt) {
        mGateway.metrics().onRefused(RefusalReason.CANCELLED);
        EventLog.Line line =
                mGateway.log()
                        .event("cancelled", mRequest.id())
                        .with("decidedBy", Decider.CALLER.label())
                        .with("sends", sends)
                        .with("begunMs", mFirstByteMillis)
                        .with("ageMs", age().toMillis());
        attempt.ifPresent(
                latest ->
                        line.with("upstream", latest.node().entry().id())
                                .with("active", latest.isActive())
                                .with("bytes", latest.progress().bytes())
                                .with("events", latest.progress().events()));
        line.info();
    }

    private Duration age() {
        return mRequest.arrivedAt().age(mGateway.time());
    }

    private long configAgeMillis() {
        return mGateway.lease().age().map(Duration::toMillis).orElse(-1L);
    }
}
