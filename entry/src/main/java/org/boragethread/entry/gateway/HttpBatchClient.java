package org.boragethread.entry.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.boragethread.core.callback.Callbacks;
import org.boragethread.core.stage.BatchClient;
import org.boragethread.core.stage.BatchFailure;
import org.boragethread.core.stage.BatchResponse;
import org.boragethread.core.stage.PieceResult;
import org.boragethread.core.stage.PieceWork;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.core.upstream.RateLimitShare;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.entry.rollout.UpstreamUse;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.ServerLoad;
import org.boragethread.platform.store.HeaderDecoder;
import org.boragethread.platform.store.MalformedRecordException;
import org.boragethread.platform.store.PlatformHeaders;
import org.boragethread.platform.store.StageCodec;
import org.boragethread.process.log.EventLog;
import org.boragethread.wire.http.BufferedResponse;
import org.boragethread.wire.http.CallFailure;
import org.boragethread.wire.http.HttpCall;
import org.boragethread.wire.http.HttpConnectionPool;

/** Calls the upstreams of stages over HTTP, with a batch of pieces in each call. */
final class HttpBatchClient implements BatchClient {

    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final Duration FREE_TIMEOUT = Duration.ofSeconds(2);

    /** Results released within this time are freed in one call. */
    private static final Duration FREE_BATCH_DELAY = Duration.ofMillis(8);

    private final HttpConnectionPool mConnections;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final EventLog mLog;
    private final GatewayMetrics mMetrics;
    private final UpstreamSignals mSignals;
    private final RateLimitShare mRateLimitShare;
    private final StageRollouts mRollouts;
    private final Consumer<GroupId> mOnFreed;
    private final Map<UpstreamNode, Set<String>> mPendingFrees = new HashMap<>();

    HttpBatchClient(
            HttpConnectionPool connections,
            Scheduler scheduler,
            TimeSource time,
            EventLog log,
            GatewayMetrics metrics,
            UpstreamSignals signals,
            RateLimitShare rateLimitShare,
            StageRollouts rollouts,
            Consumer<GroupId> onFreed) {
        mConnections = connections;
        mScheduler = scheduler;
        mTime = time;
        mLog = log;
        mMetrics = metrics;
        mSignals = signals;
        mRateLimitShare = rateLimitShare;
        mRollouts = rollouts;
        mOnFreed = onFreed;
    }

    @Override
    public void execute(
            UpstreamNode upstream,
            List<PieceWork> pieces,
            Duration timeout,
            Consumer<Either<BatchFailure, BatchResponse>> callback) {
        if (!mRollouts.tryCount(upstream, pieces.size())) {
            BatchFailure failure =
                    new BatchFailure(BatchFailure.Kind.REJECTED, "the version is not in use now");
            mScheduler.schedule(Duration.ZERO, () -> callback.accept(Either.left(failure)));
            return;
        }
        UpstreamUse use = mRollouts.begin(upstream);
        UpstreamAnnouncement entry = upstream.entry();
        long sentAt = mTime.nanoTime();
        byte[] body = StageCodec.encodeRun(pieces, sentAt);
        FullHttpRequest request = postRequest(entry, StageCodec.RUN_PATH, body);
        request.headers().set(PlatformHeaders.DEADLINE, Math.max(1, timeout.toMillis()));
        // The response echoes no request ID, so each call uses a new connection.
        send(
                entry,
                request,
                true,
                timeout,
                head -> applySignals(upstream, entry, sentAt, head),
                response -> {
                    Either<BatchFailure, BatchResponse> result =
                            decodeResponse(response, pieces.size());
                    countEnd(use, upstream, pieces.size(), sentAt, result);
                    logBatch(
                            entry,
                            pieces,
                            sentAt,
                            upstream.resultMemory().usedBytes(mTime.nanoTime()),
                            result);
                    callback.accept(result);
                });
    }

    private void countEnd(
            UpstreamUse use,
            UpstreamNode upstream,
            int pieces,
            long sentAt,
            Either<BatchFailure, BatchResponse> result) {
        if (result.isLeft()) {
            mRollouts.onEnded(use, result.getLeft().kind());
            return;
        }
        boolean failed =
                result.get().results().stream()
                        .anyMatch(piece -> piece.isFailure(PieceResult.Failure.ERROR));
        mRollouts.onEnded(use, upstream, pieces, mTime.since(sentAt), failed);
    }

    private void applySignals(
            UpstreamNode upstream, UpstreamAnnouncement entry, long sentAt, HttpResponse head) {
        mSignals.apply(upstream, entry, sentAt, head.status().code(), head.headers());
    }

    private void logBatch(
            UpstreamAnnouncement entry,
            List<PieceWork> pieces,
            long sentAt,
            long heldBytes,
            Either<BatchFailure, BatchResponse> result) {
        long millis = mTime.since(sentAt).toMillis();
        Set<String> requests = new LinkedHashSet<>();
        pieces.forEach(piece -> requests.add(piece.requestId()));
        EventLog.Line line =
                mLog.event("pieces", String.join(" ", requests))
                        .with("stage", pieces.get(0).stage())
                        .with("pieces", pieces.size())
                        .with("upstream", entry.id())
                        .with("millis", millis);
        mMetrics.onBatch(entry.group().value(), pieces.size(), millis, result.isRight());
        if (result.isLeft()) {
            line.with("outcome", result.getLeft().kind())
                    .with("detail", result.getLeft().detail())
                    .warn();
            return;
        }
        List<PieceResult.Failure> failures =
                result.get().results().stream().flatMap(r -> r.failure().stream()).toList();
        if (!failures.isEmpty()) {
            line.with("outcome", "PARTLY_FAILED")
                    .with("failed", failures.size())
                    .with("reason", failures.get(0))
                    .with("heldBytes", heldBytes)
                    .warn();
        } else {
            line.with("outcome", "MADE").info();
        }
    }

    private static Either<BatchFailure, BatchResponse> decodeResponse(
            Either<CallFailure, BufferedResponse> response, int pieces) {
        if (response.isLeft()) {
            CallFailure failure = response.getLeft();
            BatchFailure.Kind kind =
                    failure.maybeSent() ? BatchFailure.Kind.BROKEN : BatchFailure.Kind.UNREACHABLE;
            return Either.left(new BatchFailure(kind, failure.detail()));
        }
        BufferedResponse whole = response.get();
        if (whole.status() == MISDIRECTED) {
            return Either.left(new BatchFailure(BatchFailure.Kind.MISDIRECTED, "status 421"));
        }
        if (whole.status() != OK) {
            boolean rejected = whole.headers().contains(PlatformHeaders.NOT_EXECUTED);
            BatchFailure.Kind kind =
                    rejected ? BatchFailure.Kind.REJECTED : BatchFailure.Kind.BROKEN;
            return Either.left(new BatchFailure(kind, "status " + whole.status()));
        }
        try {
            Optional<Integer> waiting =
                    HeaderDecoder.load(whole.headers().get(PlatformHeaders.LOAD))
                            .map(ServerLoad::queued);
            return Either.right(
                    new BatchResponse(StageCodec.decodeRun(whole.body(), pieces), waiting));
        } catch (MalformedRecordException e) {
            return Either.left(new BatchFailure(BatchFailure.Kind.BROKEN, e.getMessage()));
        }
    }

    @Override
    public void free(UpstreamNode upstream, Collection<String> handles) {
        if (mPendingFrees.isEmpty()) {
            mScheduler.schedule(FREE_BATCH_DELAY, this::flushFrees);
        }
        mPendingFrees.computeIfAbsent(upstream, node -> new LinkedHashSet<>()).addAll(handles);
    }

    private void flushFrees() {
        Map<UpstreamNode, Set<String>> frees = new HashMap<>(mPendingFrees);
        // Cleared first, as the next flush is scheduled only if there is nothing pending.
        mPendingFrees.clear();
        Callbacks.forEach(
                frees.entrySet(), free -> sendFreeRequest(free.getKey(), free.getValue()));
    }

    private void sendFreeRequest(UpstreamNode upstream, Set<String> handles) {
        long now = mTime.nanoTime();
        if (upstream.isPaused(now)) {
            mScheduler.schedule(upstream.pauseTime(now), () -> free(upstream, handles));
            return;
        }
        Optional<Long> allowedAt = mRateLimitShare.nextCallAt(upstream, now);
        if (allowedAt.isEmpty()) {
            // The upstream drops the results by itself after their lifetime.
            return;
        }
        if (allowedAt.get() > now) {
            Duration delay = Duration.ofNanos(allowedAt.get() - now);
            mScheduler.schedule(delay, () -> free(upstream, handles));
            return;
        }
        UpstreamAnnouncement entry = upstream.entry();
        upstream.onShortCallSent(now);
        FullHttpRequest request =
                postRequest(entry, StageCodec.FREE_PATH, StageCodec.encodeFree(handles));
        send(
                entry,
                request,
                false,
                FREE_TIMEOUT,
                head -> applySignals(upstream, entry, now, head),
                response -> {
                    // Before this response the upstream may lack memory for other results.
                    upstream.resultMemory().remove(handles);
                    mOnFreed.accept(entry.group());
                    if (response.isLeft() || response.get().status() != OK) {
                        mLog.event("free-failed")
                                .with("upstream", entry.id())
                                .with("results", handles.size())
                                .with(
                                        "detail",
                                        response.fold(
                                                CallFailure::detail,
                                                whole -> "status " + whole.status()))
                                .warn();
                    }
                });
    }

    private void send(
            UpstreamAnnouncement entry,
            FullHttpRequest request,
            boolean newConnection,
            Duration timeout,
            Consumer<HttpResponse> onHead,
            Consumer<Either<CallFailure, BufferedResponse>> callback) {
        InetSocketAddress address = new InetSocketAddress(entry.host(), entry.port());
        HttpCall call =
                new HttpCall(
                        address,
                        request,
                        newConnection,
                        OutgoingRequest.CONNECT_TIMEOUT,
                        Optional.empty());
        BufferedResponse.fetch(
                mConnections, mScheduler, call, timeout, MAX_RESPONSE_BYTES, onHead, callback);
    }

    private static FullHttpRequest postRequest(
            UpstreamAnnouncement entry, String path, byte[] body) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.wrappedBuffer(body));
        request.headers()
                .set(HttpHeaderNames.HOST, entry.address())
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(PlatformHeaders.EXPECTED_UPSTREAM, entry.id().value());
        return request;
    }
}
