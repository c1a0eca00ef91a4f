package org.boragethread.entry.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.boragethread.core.placement.PlacementFailure;
import org.boragethread.core.quarantine.Suspect;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.upstream.CalledRun;
import org.boragethread.core.upstream.UpstreamNode;
import org.boragethread.entry.placement.PlacedAttempt;
import org.boragethread.entry.rollout.UpstreamUse;
import org.boragethread.model.routing.UpstreamAnnouncement;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.platform.store.PlatformHeaders;
import org.boragethread.wire.http.BodyFraming;
import org.boragethread.wire.http.CallControl;
import org.boragethread.wire.http.CallFailure;
import org.boragethread.wire.http.CallListener;
import org.boragethread.wire.http.HttpCall;
import org.boragethread.wire.http.HttpConnectionPool;

/** One attempt to forward a request to one upstream. */
final class UpstreamAttempt implements CallListener {

    private static final int MISDIRECTED = 421;
    private static final int SERVER_ERROR = 500;
    private static final String EVENT_STREAM = "text/event-stream";

    /** Responses up to this size are buffered, so that one that breaks off can still be retried. */
    private static final int MAX_BUFFERED_BYTES = 256 << 10;

    private final UpstreamNode mNode;
    private final UpstreamAnnouncement mCalledEntry;
    private final CalledRun mRun;
    private final Gateway mGateway;
    private final UpstreamSignals mSignals;
    private final RequestSuspects mSuspects;
    private final Map<Suspect, Set<String>> mPrecedents;
    private final boolean mStreaming;
    private final AttemptListener mListener;
    private final long mSentAt;
    private final boolean mRefusalExpected;
    private final long mUncachedTokens;
    private double mPrefillMillis;
    private UpstreamUse mUse = UpstreamUse.NONE;
    private CallControl mControl;
    private int mStatus;
    private HttpHeaders mHeaders;
    private BodyFraming mFraming = BodyFraming.NO_BODY;
    private HttpMethod mMethod = HttpMethod.GET;
    private boolean mIsEventStream;
    private final EventStreamPosition mPosition = new EventStreamPosition();
    private long mBodyBytes;
    private long mLastExtent = -1;
    private long mReportsAtStart;
    private ByteBuf mBuffered = Unpooled.EMPTY_BUFFER;
    private boolean mForwarding;
    private long mForwardingSince;
    private boolean mReading = true;
    private boolean mHeld;
    private boolean mHeldEnd;
    private long mHeldAt;
    private long mHeldNanos;
    private ByteBuf mHeldBody = Unpooled.EMPTY_BUFFER;
    private boolean mEnded;
    private PlacedAttempt mPlaced = PlacedAttempt.UNREPORTED;
    private Scheduler.Timer mPromptTimer = () -> {};

    /**
     * Creates an attempt that has not started.
     *
     * @param suspects what about the request may crash upstreams
     * @param uncachedTokens prompt tokens that the upstream has to process
     * @param prefillMillis prefill time of the prompt at the upstream
     */
    UpstreamAttempt(
            UpstreamNode node,
            Gateway gateway,
            RequestSuspects suspects,
            boolean streaming,
            AttemptListener listener,
            long sentAt,
            long uncachedTokens,
            double prefillMillis) {
        mNode = node;
        mRun = new CalledRun(gateway.directory(), node, sentAt);
        mCalledEntry = mRun.calledEntry();
        mGateway = gateway;
        mSignals = gateway.upstreamSignals();
        mSuspects = suspects;
        mPrecedents = suspects.precedents();
        mStreaming = streaming;
        mListener = listener;
        mSentAt = sentAt;
        mRefusalExpected = node.isHeldBack(sentAt);
        mUncachedTokens = uncachedTokens;
        mPrefillMillis = prefillMillis;
    }

    void start(HttpConnectionPool connections, HttpCall call, UpstreamUse use) {
        mUse = use;
        mMethod = call.request().method();
        mNode.onSent(mSentAt);
        mControl = connections.send(call, this);
        if (!mStreaming && mPlaced != PlacedAttempt.UNREPORTED) {
            Duration prefill = Duration.ofNanos((long) (mPrefillMillis * 1e6));
            mPromptTimer = mGateway.scheduler().schedule(prefill, mPlaced::onPromptProcessed);
        }
    }

    /** Sets who is told of the course of the attempt; called before it starts. */
    void reportTo(PlacedAttempt placed) {
        mPlaced = placed;
    }

    UpstreamNode node() {
        return mNode;
    }

    /**
     * Returns the monotonic time from which the response time of the upstream counts: when the
     * attempt was sent, later by the time for which its response was held.
     */
    long timedFrom() {
        return mSentAt + mHeldNanos;
    }

    /** Returns the number of prompt tokens that the upstream has to process. */
    long uncachedTokens() {
        return mUncachedTokens;
    }

    /** Returns whether the attempt has not ended. */
    boolean isActive() {
        return !mEnded;
    }

    /** Returns whether a part of the response was forwarded to the caller. */
    boolean isForwarding() {
        return mForwarding;
    }

    /**
     * Returns whether the response is successful and its body an event stream. The events of any
     * other response are no part of a stream that has begun.
     */
    boolean isEventStream() {
        return mIsEventStream && isSuccess();
    }

    private boolean isSuccess() {
        return HttpStatusClass.valueOf(mStatus) == HttpStatusClass.SUCCESS;
    }

    /**
     * Returns the version of the software that responds; empty if it is not certain, for example
     * because the upstream has announced another run since it was called.
     */
    Optional<SoftwareVersion> softwareVersion() {
        return mRun.softwareVersion();
    }

    /** Returns the version that is announced, which may be outdated. */
    Optional<SoftwareVersion> announcedVersion() {
        return mRun.announcedVersion();
    }

    /** Returns whether later announcements may make the version certain. */
    boolean isVersionPending() {
        return mRun.isPending();
    }

    /** Returns the headers of the response that are forwarded to the caller. */
    HttpHeaders forwardedHeaders() {
        return mIsEventStream
                ? ForwardedHeaders.ofEventStream(mHeaders)
                : ForwardedHeaders.ofResponse(mHeaders);
    }

    /** Returns how much of the response has arrived. */
    ResponseProgress progress() {
        return new ResponseProgress(
                mFraming, mBodyBytes, mPosition.events(), mPosition.partialEventBytes());
    }

    /**
     * Returns whether the response has progressed since the last invocation, in events if it is a
     * stream of them. The start of the attempt and the head are progress too.
     */
    boolean hasProgressed() {
        long head = hasHead() ? 1 : 0;
        long extent = head + (mIsEventStream ? mPosition.events() : mBodyBytes);
        boolean progressed = extent != mLastExtent;
        mLastExtent = extent;
        return progressed;
    }

    private boolean hasHead() {
        return mStatus > 0;
    }

    /** Returns whether the response has begun and is buffered until it is complete. */
    boolean isBuffering() {
        return hasHead() && mStatus < SERVER_ERROR && !mStreaming && !mForwarding;
    }

    /** Cancels the attempt, so that the upstream stops working on it. */
    void cancel() {
        if (mEnded) {
            return;
        }
        mUse.onAbandoned(relativeTime());
        end();
        mControl.cancel();
    }

    /** Cancels the attempt because its upstream does not respond as it should. */
    void giveUp() {
        countGivenUp();
        mPlaced.onFailed(PlacementFailure.FAILED);
        cancel();
    }

    /**
     * Counts that the response is given up. That is no failure of the upstream while the response
     * is not read, for example because the caller does not read it.
     */
    void countGivenUp() {
        if (!mEnded && mReading) {
            mUse.onGivenUp(relativeTime());
        }
    }

    /** Returns the time since the attempt was sent as a multiple of the predicted response time. */
    private double relativeTime() {
        double expected =
                mGateway.responseTimes(mCalledEntry.group()).expectedMillis(mUncachedTokens);
        return mGateway.time().since(timedFrom()).toNanos() / 1e6 / expected;
    }

    private void countResponse() {
        mUse.onResponse(OptionalDouble.of(relativeTime()));
    }

    void setReading(boolean reading) {
        mReading = reading;
        mControl.setReading(reading && !mHeld);
    }

    /**
     * Stops reading, and keeps what has arrived of the body, until {@link #release}. A response
     * that fails meanwhile counts as failed before its start.
     */
    void hold() {
        mHeld = true;
        mHeldAt = mGateway.time().nanoTime();
        mControl.setReading(false);
    }

    /** Goes on with a response that was held; without effect if it has ended. */
    void release() {
        if (!mHeld || mEnded) {
            return;
        }
        mHeld = false;
        mHeldNanos = mGateway.time().nanoTime() - mHeldAt;
        mControl.setReading(mReading);
        ByteBuf data = mHeldBody;
        mHeldBody = Unpooled.EMPTY_BUFFER;
        if (data.isReadable()) {
            onBody(data);
        }
        if (mHeldEnd) {
            onEnd();
        }
    }

    /** Returns whether the response is held. */
    boolean isHeld() {
        return mHeld && !mEnded;
    }

    @Override
    public void onConnected() {
        mSignals.onConnected(mNode, mCalledEntry);
    }

    @Override
    public void onHead(HttpResponse head) {
        if (mEnded) {
            return;
        }
        mStatus = head.status().code();
        mHeaders = head.headers();
        mFraming = BodyFraming.of(mMethod, head);
        mRun.onResponse();
        mSignals.onResponded(mNode, mCalledEntry, mSentAt);
        mSignals.apply(mNode, mCalledEntry, mSentAt, mStatus, mHeaders);
        mIsEventStream = mFraming != BodyFraming.NO_BODY && isEventStream(head);
        boolean notExecuted =
                mStatus == MISDIRECTED || mHeaders.contains(PlatformHeaders.NOT_EXECUTED);
        if (notExecuted) {
            mPlaced.onFailed(PlacementFailure.REFUSED);
            end();
            mListener.onNotExecuted(mNode, mStatus);
            return;
        }
        if (isSuccess() && !mHeaders.contains(PlatformHeaders.SEAL)) {
            mPlaced.onFailed(PlacementFailure.FAILED);
            mUse.onFailure();
            cancel();
            mListener.onFailed(mNode, "successful response without a signature header");
        } else if (isSuccess()) {
            mListener.onSuccessHead();
        }
    }

    /** A successful response on a streaming route without a content type is an event stream. */
    private boolean isEventStream(HttpResponse head) {
        String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        if (type.isBlank()) {
            return mStreaming && head.status().codeClass() == HttpStatusClass.SUCCESS;
        }
        return type.strip().regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length());
    }

    @Override
    public void onBody(ByteBuf data) {
        if (mEnded) {
            return;
        }
        if (mHeld) {
            mHeldBody = append(mHeldBody, data);
            return;
        }
        if (mBodyBytes == 0) {
            mReportsAtStart = mGateway.quarantine().learnedReports();
        }
        mBodyBytes += data.readableBytes();
        if (mIsEventStream) {
            mPosition.advance(data);
        }
        boolean large = mBuffered.readableBytes() + data.readableBytes() > MAX_BUFFERED_BYTES;
        if (large && mStatus >= SERVER_ERROR) {
            mPlaced.onFailed(PlacementFailure.FAILED);
            mUse.onFailure();
            cancel();
            mListener.onFailed(mNode, "status %d with a body too large".formatted(mStatus));
            return;
        }
        if (!mForwarding && (large || isSuccess() && mStreaming)) {
            startForwarding();
        }
        if (mEnded) {
            return;
        }
        if (mForwarding) {
            mListener.onStreamData(data);
            return;
        }
        mBuffered = append(mBuffered, data);
        mListener.onBuffered();
    }

    private static ByteBuf append(ByteBuf buffer, ByteBuf data) {
        ByteBuf target =
                buffer == Unpooled.EMPTY_BUFFER ? Unpooled.buffer(data.readableBytes()) : buffer;
        return target.writeBytes(data);
    }

    private void startForwarding() {
        mForwarding = true;
        mForwardingSince = mGateway.time().nanoTime();
        mPlaced.onFirstEvent(Duration.ofNanos(mForwardingSince - mSentAt - mHeldNanos));
        endPrefill();
        mUse.onStarted(OptionalDouble.of(relativeTime()));
        mListener.onStreamHead(mNode, mStatus);
        if (!mEnded && mBuffered.isReadable()) {
            mListener.onStreamData(mBuffered);
        }
    }

    @Override
    public void onEnd() {
        if (mEnded) {
            return;
        }
        if (mHeld) {
            mHeldEnd = true;
            return;
        }
        if (mStatus >= SERVER_ERROR || !isBodyComplete()) {
            mPlaced.onFailed(PlacementFailure.FAILED);
        } else {
            mPlaced.onCompleted();
        }
        end();
        judgePrompt();
        if (!isBodyComplete()) {
            reportBroken("the event stream ended inside an event or without any");
        } else if (mForwarding) {
            countResponse();
            mGateway.streamDurations(mCalledEntry.group())
                    .add(mGateway.time().since(mForwardingSince));
            mListener.onStreamEnd(mNode);
        } else {
            if (mStatus >= SERVER_ERROR) {
                mUse.onFailure();
            } else {
                countResponse();
            }
            mListener.onResponse(mNode, mStatus, mBuffered);
        }
    }

    /**
     * Clears the suspects of the request of earlier crashes. The end of the connection is no proof
     * that the upstream has not crashed, even if the body looks complete.
     */
    private void judgePrompt() {
        if (mFraming == BodyFraming.CONNECTION_END) {
            reportConnectionEnd();
            return;
        }
        if (isSuccess() && mBodyBytes > 0 && isBodyComplete()) {
            mGateway.quarantine().onResponse(mSuspects.known(), mReportsAtStart);
        }
    }

    /**
     * Returns whether the body that has ended is complete. The end of an event stream proves
     * nothing if it is not the end of an event, whatever the framing; a connection also ends if the
     * upstream fails.
     */
    private boolean isBodyComplete() {
        if (!mIsEventStream) {
            return true;
        }
        boolean endProven = mPosition.events() > 0 || mFraming != BodyFraming.CONNECTION_END;
        return endProven && mPosition.isBetweenEvents();
    }

    private void reportBroken(String detail) {
        mUse.onFailure();
        if (mForwarding) {
            mListener.onStreamBroken(mNode, detail);
        } else {
            mListener.onFailed(mNode, detail);
        }
    }

    @Override
    public void onFailure(CallFailure failure) {
        if (mEnded) {
            return;
        }
        mPlaced.onFailed(PlacementFailure.BROKEN);
        end();
        if (!failure.maybeSent()) {
            if (mNode.entry().isSameIncarnation(mCalledEntry)) {
                mNode.doubtRun(mGateway.time().nanoTime());
            }
            mListener.onNotSent(mNode, UnsentAttempt.of(failure, mSentAt, mRefusalExpected));
            return;
        }
        if (failure.kind() == CallFailure.Kind.BROKEN) {
            reportConnectionEnd();
        }
        reportBroken(failure.detail());
    }

    private void reportConnectionEnd() {
        mGateway.crashDetector()
                .onConnectionEnded(mNode, mCalledEntry, mSuspects.complete(mPrecedents));
    }

    private void endPrefill() {
        mNode.prompts().onPromptDone(mPrefillMillis);
        mPrefillMillis = 0;
    }

    private void end() {
        mEnded = true;
        mPromptTimer.cancel();
        endPrefill();
        mPlaced.onEnded();
        mNode.onEnded();
        mUse.onEnded();
    }
}
