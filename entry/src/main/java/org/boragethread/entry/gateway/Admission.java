package org.boragethread.entry.gateway;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.routing.KeyHolder;
import org.boragethread.model.routing.PromptPart;
import org.boragethread.model.routing.Route;
import org.boragethread.model.routing.RoutingConfig;
import org.boragethread.platform.store.HeaderDecoder;
import org.boragethread.platform.store.PlatformHeaders;

/** Decides whether a request is admitted, and which route serves it. */
final class Admission {

    /** Retry-After for requests that arrive before a configuration is loaded. */
    private static final Duration START_RETRY_AFTER = Duration.ofMillis(500);

    /**
     * Retry-After for a stale configuration. The store has already been unreachable for seconds,
     * and its recovery may take as long again.
     */
    private static final Duration STALE_RETRY_AFTER = Duration.ofSeconds(2);

    private final Gateway mGateway;

    Admission(Gateway gateway) {
        mGateway = gateway;
    }

    Either<Refusal, AdmittedRequest> admit(CallerRequest request) {
        Optional<RoutingConfig> config = mGateway.routingTable().config();
        if (config.isEmpty()) {
            return Either.left(
                    Refusal.notRun(
                            RefusalReason.NOT_READY,
                            "no configuration is loaded yet",
                            START_RETRY_AFTER));
        }
        Optional<Route> route =
                mGateway.routingTable().find(hostName(request.headers()), request.path());
        if (route.isEmpty()) {
            return refuseUnlessStale(RefusalReason.UNKNOWN_ROUTE, "no route for " + request.path());
        }
        Optional<Map<String, KeyHolder>> keys = config.get().keys();
        Optional<KeyHolder> keyHolder = keys.flatMap(all -> findKeyHolder(all, request.headers()));
        if (keys.isPresent() && !route.get().publicAccess()) {
            if (keyHolder.isEmpty()) {
                return refuseUnlessStale(RefusalReason.UNKNOWN_KEY, "unknown or missing API key");
            }
            if (!mGateway.lease().isHeld()) {
                return refuseStale();
            }
        }
        HttpHeaders headers = request.headers();
        Optional<int[]> pieces =
                HeaderDecoder.pieces(
                        headers.get(PlatformHeaders.PIECES), route.get().stages().size());
        if (pieces.isEmpty()) {
            return Either.left(
                    Refusal.notRun(
                            RefusalReason.BAD_REQUEST,
                            "missing or malformed header with the number of pieces"));
        }
        AdmittedRequest admitted = createAdmitted(request, route.get(), keyHolder, pieces.get());
        return refuseIfTooLate(admitted)
                .flatMap(inTime -> new StopAdmission(mGateway).admit(request, inTime));
    }

    /** Refuses a request that no upstream could finish in time. */
    private Either<Refusal, AdmittedRequest> refuseIfTooLate(AdmittedRequest admitted) {
        if (admitted.deadlineNanos() - mGateway.time().nanoTime() <= 0) {
            return Either.left(
                    Refusal.notRun(
                            RefusalReason.DEADLINE_HOPELESS,
                            "no time was left when the request had arrived"));
        }
        return Either.right(admitted);
    }

    private static AdmittedRequest createAdmitted(
            CallerRequest request, Route route, Optional<KeyHolder> keyHolder, int[] pieces) {
        HttpHeaders headers = request.headers();
        OptionalLong callerTimeout = HeaderDecoder.number(headers.get(PlatformHeaders.DEADLINE));
        long timeout = route.timeout().toMillis();
        long millis = Math.min(timeout, callerTimeout.orElse(timeout));
        List<PromptPart> prompt = HeaderDecoder.prompt(headers.get(PlatformHeaders.PROMPT));
        List<PromptPart> sharedPrefix =
                prompt.size() > 1 ? prompt.subList(0, prompt.size() - 1) : prompt;
        int priority =
                keyHolder
                        .map(KeyHolder::priority)
                        .filter(value -> value.isPresent())
                        .map(value -> value.getAsInt())
                        .orElse(route.priority());
        return new AdmittedRequest(
                route,
                keyHolder,
                request.arrivedAt().nanos() + Duration.ofMillis(millis).toNanos(),
                request.arrivedAt().nanos() + route.targetLatency().toNanos(),
                millis == timeout,
                priority,
                pieces,
                prefixHash(sharedPrefix),
                totalTokens(sharedPrefix),
                totalTokens(prompt),
                sharedParts(prompt));
    }

    private static List<Long> sharedParts(List<PromptPart> prompt) {
        return prompt.stream().limit(Math.max(0, prompt.size() - 1)).map(PromptPart::id).toList();
    }

    private static long prefixHash(List<PromptPart> parts) {
        if (parts.isEmpty()) {
            return 0;
        }
        HashStream64 hash = Hashing.komihash5_0().hashStream();
        parts.forEach(part -> hash.putLong(part.id()));
        return hash.getAsLong();
    }

    private static long totalTokens(List<PromptPart> parts) {
        return parts.stream().mapToLong(PromptPart::tokens).sum();
    }

    private static String hostName(HttpHeaders headers) {
        String host = headers.get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private static Optional<KeyHolder> findKeyHolder(
            Map<String, KeyHolder> keys, HttpHeaders headers) {
        String authorization = headers.get(HttpHeaderNames.AUTHORIZATION, "");
        if (!ForwardedHeaders.isApiKey(authorization)) {
            return Optional.empty();
        }
        String key = authorization.substring(PlatformHeaders.KEY_SCHEME.length()).trim();
        return Optional.ofNullable(keys.get(key));
    }

    /** Refuses a request. If a newer configuration might admit it, refuses it as stale instead. */
    private Either<Refusal, AdmittedRequest> refuseUnlessStale(
            RefusalReason reason, String detail) {
        return mGateway.lease().isHeld()
                ? Either.left(Refusal.notRun(reason, detail))
                : refuseStale();
    }

    private static Either<Refusal, AdmittedRequest> refuseStale() {
        return Either.left(
                Refusal.notRun(
                        RefusalReason.CONFIGURATION_STALE,
                        "the configuration was not confirmed by the store recently enough",
                        STALE_RETRY_AFTER));
    }
}
