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
import org.boragethread.platform.store.PlatformHeaders;
import org.boragethread.platform.store.RequestDecoder;

/** Decides whether a request may be served, and by which route. */
final class Admission {

    /** When a caller that met an entry without a configuration should come back. */
    private static final Duration START_RETRY = Duration.ofMillis(500);

    /** The store has been away for seconds already, and its return may take as long again. */
    private static final Duration STALE_RETRY = Duration.ofSeconds(2);

    private final Gateway mGateway;

    Admission(Gateway gateway) {
        mGateway = gateway;
    }

    Either<Refusal, Admitted> admit(CallerRequest request) {
        Optional<RoutingConfig> config = mGateway.routing().config();
        if (config.isEmpty()) {
            return Either.left(
                    Refusal.notRun(
                            RefusalReason.NOT_READY, "no configuration is known yet", START_RETRY));
        }
        Optional<Route> route = mGateway.routing().find(host(request.headers()), request.path());
        if (route.isEmpty()) {
            return unlessStale(RefusalReason.UNKNOWN_ROUTE, "no route for " + request.path());
        }
        Optional<Map<String, KeyHolder>> keys = config.get().keys();
        Optional<KeyHolder> holder = keys.flatMap(all -> holder(all, request.headers()));
        if (keys.isPresent() && !route.get().open()) {
            if (holder.isEmpty()) {
                return unlessStale(RefusalReason.UNKNOWN_KEY, "no team holds the key");
            }
            if (!mGateway.lease().isHeld()) {
                return stale();
            }
        }
        HttpHeaders headers = request.headers();
        Optional<int[]> pieces =
                RequestDecoder.pieces(
                        headers.get(PlatformHeaders.PIECES), route.get().stages().size());
        if (pieces.isEmpty()) {
            return Either.left(
                    Refusal.notRun(RefusalReason.BAD_REQUEST, "the number of pieces is missing"));
        }
        return Either.right(describe(request, route.get(), holder, pieces.get()));
    }

    private static Admitted describe(
            CallerRequest request, Route route, Optional<KeyHolder> holder, int[] pieces) {
        HttpHeaders headers = request.headers();
        OptionalLong allowed = RequestDecoder.number(headers.get(PlatformHeaders.DEADLINE));
        long timeout = route.timeout().toMillis();
        long millis = Math.min(timeout, allowed.orElse(timeout));
        List<PromptPart> prompt = RequestDecoder.prompt(headers.get(PlatformHeaders.PROMPT));
        List<PromptPart> shared = prompt.size() > 1 ? prompt.subList(0, prompt.size() - 1) : prompt;
        int priority =
                holder.map(KeyHolder::priority)
                        .filter(rank -> rank.isPresent())
                        .map(rank -> rank.getAsInt())
                        .orElse(route.priority());
        return new Admitted(
                route,
                holder,
                request.arrivedAt().nanos() + Duration.ofMillis(millis).toNanos(),
                request.arrivedAt().nanos() + route.targetLatency().toNanos(),
                millis == timeout,
                priority,
                pieces,
                hash(shared),
                tokens(shared),
                tokens(prompt));
    }

    private static long hash(List<PromptPart> parts) {
        if (parts.isEmpty()) {
            return 0;
        }
        HashStream64 hash = Hashing.komihash5_0().hashStream();
        parts.forEach(part -> hash.putLong(part.id()));
        return hash.getAsLong();
    }

    private static long tokens(List<PromptPart> parts) {
        return parts.stream().mapToLong(PromptPart::tokens).sum();
    }

    private static String host(HttpHeaders headers) {
        String host = headers.get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
        int colon = host.lastIndexOf(':');
        return colon < 0 ? host : host.substring(0, colon);
    }

    private static Optional<KeyHolder> holder(Map<String, KeyHolder> keys, HttpHeaders headers) {
        String authorization = headers.get(HttpHeaderNames.AUTHORIZATION, "");
        if (!ForwardedHeaders.isKey(authorization)) {
            return Optional.empty();
        }
        String key = authorization.substring(PlatformHeaders.KEY_SCHEME.length()).trim();
        return Optional.ofNullable(keys.get(key));
    }

    /** A refusal that a newer configuration might not give is only certain if ours is current. */
    private Either<Refusal, Admitted> unlessStale(RefusalReason reason, String detail) {
        return mGateway.lease().isHeld() ? Either.left(Refusal.notRun(reason, detail)) : stale();
    }

    private static Either<Refusal, Admitted> stale() {
        return Either.left(
                Refusal.notRun(
                        RefusalReason.CONFIGURATION_STALE,
                        "the store has not been read for too long",
                        STALE_RETRY));
    }
}
