package org.boragethread.entry.gateway;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.platform.store.PlatformHeaders;
import org.boragethread.wire.http.HttpCall;

/** Builds the request that is sent to an upstream. */
final class OutgoingRequest {

    static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);
    private static final int HIGHEST_PRIORITY = 0;
    private static final int LOWEST_PRIORITY = 9;

    private final CallerRequest mRequest;
    private final AdmittedRequest mAdmitted;
    private final UpstreamAnnouncement mUpstream;
    private final HttpHeaders mHeaders;
    private final Duration mRemaining;
    private boolean mRejectedBefore;

    private OutgoingRequest(
            CallerRequest request,
            AdmittedRequest admitted,
            UpstreamAnnouncement upstream,
            Duration remaining) {
        mRequest = request;
        mAdmitted = admitted;
        mUpstream = upstream;
        mRemaining = remaining;
        mHeaders = ForwardedHeaders.ofRequest(request.headers());
    }

    static OutgoingRequest of(
            CallerRequest request,
            AdmittedRequest admitted,
            UpstreamNode node,
            Duration remaining) {
        OutgoingRequest outgoing = new OutgoingRequest(request, admitted, node.entry(), remaining);
        outgoing.setPlatformHeaders();
        return outgoing;
    }

    private void setPlatformHeaders() {
        mHeaders.set(PlatformHeaders.DEADLINE, Math.max(1, mRemaining.toMillis()));
        mHeaders.set(PlatformHeaders.EXPECTED_UPSTREAM, mUpstream.id().value());
        mAdmitted.keyHolder().ifPresent(owner -> mHeaders.set(PlatformHeaders.TEAM, owner.team()));
        if (mAdmitted.route().sticky()) {
            int priority =
                    Math.max(HIGHEST_PRIORITY, Math.min(LOWEST_PRIORITY, mAdmitted.priority()));
            mHeaders.set(PlatformHeaders.PRIORITY, priority);
        }
        if (!mAdmitted.route().resumable()
                || mHeaders.get(PlatformHeaders.LAST_EVENT_ID, "").isBlank()) {
            mHeaders.remove(PlatformHeaders.LAST_EVENT_ID);
        }
        int length = mRequest.body().readableBytes();
        boolean hasBody =
                mHeaders.contains(HttpHeaderNames.CONTENT_LENGTH)
                        || mRequest.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (hasBody || length > 0) {
            mHeaders.set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
    }

    /** Adds the handles of the stage results that the upstream needs. */
    OutgoingRequest withInputs(List<String> handles, boolean hasStages) {
        if (hasStages) {
            mHeaders.set(PlatformHeaders.INPUTS, String.join(",", handles));
        }
        return this;
    }

    /** Requests that a stream is resumed after the given event. */
    OutgoingRequest resumeAfter(Optional<String> lastEvent) {
        lastEvent.ifPresent(id -> mHeaders.set(PlatformHeaders.LAST_EVENT_ID, id));
        return this;
    }

    /**
     * Sets whether the upstream has rejected the request before. On the same connection, a copy of
     * that response could not be told from the response to this call.
     */
    OutgoingRequest afterRejection(boolean rejected) {
        mRejectedBefore = rejected;
        return this;
    }

    HttpCall toHttpCall() {
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        mRequest.method(),
                        mRequest.target(),
                        mRequest.body().retainedDuplicate(),
                        mHeaders,
                        EmptyHttpHeaders.INSTANCE);
        long third = mRemaining.toMillis() / 3;
        Duration connectTimeout =
                Duration.ofMillis(Math.max(1, Math.min(CONNECT_TIMEOUT.toMillis(), third)));
        return new HttpCall(
                new InetSocketAddress(mUpstream.host(), mUpstream.port()),
                request,
                mRejectedBefore || !mAdmitted.route().isIdempotent(),
                connectTimeout,
                Optional.of(PlatformHeaders.REQUEST_ID));
    }
}
