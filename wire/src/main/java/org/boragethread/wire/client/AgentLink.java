package org.boragethread.wire.client;

import com.google.protobuf.UnsafeByteOperations;
import io.netty.channel.ChannelHandlerContext;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.claim.ClaimAnswer;
import org.boragethread.core.dispatch.CallHandle;
import org.boragethread.core.dispatch.CallListener;
import org.boragethread.core.dispatch.CallSummary;
import org.boragethread.core.dispatch.StageCall;
import org.boragethread.core.dispatch.UpstreamLink;
import org.boragethread.core.selection.Candidate;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.outcome.AttemptId;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.model.upstream.UpstreamLoad;
import org.boragethread.wire.frame.ClaimProtoConversions;
import org.boragethread.wire.frame.CloseReason;
import org.boragethread.wire.frame.ConfigSource;
import org.boragethread.wire.frame.FrameHandler;
import org.boragethread.wire.frame.ProtoConversions;
import org.boragethread.wire.frame.WireEvents;
import org.boragethread.wire.frame.WireSettings;
import org.boragethread.wire.proto.Call;
import org.boragethread.wire.proto.Cancel;
import org.boragethread.wire.proto.ClaimQuery;
import org.boragethread.wire.proto.Credit;
import org.boragethread.wire.proto.Frame;
import org.boragethread.wire.proto.Load;
import org.boragethread.wire.proto.Ping;
import org.boragethread.wire.proto.ResultChunk;
import org.boragethread.wire.proto.ResultEnd;
import org.boragethread.wire.proto.ResultHead;
import org.boragethread.wire.proto.Welcome;

/**
 * The entry's end of one connection to an agent. It is usable as a link once the handshake is
 * complete.
 *
 * <p>All state is confined to the event loop, except for volatile and atomic fields, which are read
 * when an upstream is selected.
 */
final class AgentLink extends FrameHandler implements UpstreamLink {

    /** Number of chunks that an agent may send before it needs further credit. */
    static final int INITIAL_CREDIT = 64;

    private static final Logger LOGGER = LogManager.getLogger(AgentLink.class);

    private final WireSettings mSettings;
    private final EntryIdentity mIdentity;
    private final LinkListener mListener;
    private final Map<AttemptId, PendingCall> mPending = new HashMap<>();
    private final AtomicInteger mOwnCalls = new AtomicInteger();
    private final ClientHandshake mHandshake;
    private final PendingClaimQueries mPendingQueries = new PendingClaimQueries();

    private ChannelHandlerContext mContext;
    private long mPingToken;
    private boolean mClosed;
    private Optional<Future<?>> mPings = Optional.empty();
    private UpstreamId mUpstream;
    private GroupId mGroup;
    private DataCentreId mDataCentre;
    private volatile Welcome mWelcome;
    private volatile boolean mAccepting;
    private volatile boolean mDraining;
    private volatile UpstreamLoad mLoad = UpstreamLoad.UNKNOWN;
    private volatile long mLoadReceivedAtNanos;

    AgentLink(
            EntryIdentity identity,
            WireSettings settings,
            WireEvents events,
            ConfigSource config,
            TimeSource time,
            LinkListener listener) {
        super(events, config, time);
        mIdentity = identity;
        mSettings = settings;
        mListener = listener;
        mHandshake = new ClientHandshake(identity, settings.key());
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (mWelcome == null) {
            handleHandshake(context, frame);
            return;
        }
        pullNewerConfig(context, frame);
        if (!handleConfigFrame(context, frame)) {
            handle(context, frame);
        }
    }

    private void handleHandshake(ChannelHandlerContext context, Frame frame) {
        switch (frame.getBodyCase()) {
            case CHALLENGE:
                send(context, mHandshake.createHello(frame.getChallenge()));
                break;
            case WELCOME:
                onWelcome(context, frame);
                break;
            default:
                close(context, CloseReason.UNEXPECTED_FRAME);
                break;
        }
    }

    private void onWelcome(ChannelHandlerContext context, Frame frame) {
        Welcome welcome = frame.getWelcome();
        if (welcome.getProtocolVersion() != WireSettings.PROTOCOL_VERSION) {
            close(context, CloseReason.BAD_VERSION);
            return;
        }
        if (!mHandshake.isAuthentic(welcome)) {
            close(context, CloseReason.BAD_PROOF);
            return;
        }
        updateLoad(welcome.getLoad());
        mUpstream = new UpstreamId(welcome.getUpstream());
        mGroup = new GroupId(welcome.getGroup());
        mDataCentre = new DataCentreId(welcome.getDataCentre());
        mWelcome = welcome;
        mAccepting = !welcome.getLoad().getLeaving();
        long interval = mSettings.pingInterval().toNanos();
        mPings =
                Optional.of(
                        context.executor()
                                .scheduleAtFixedRate(
                                        this::sendPingInLoop,
                                        interval,
                                        interval,
                                        TimeUnit.NANOSECONDS));
        LOGGER.info(
                "connected to agent of upstream {} as entry {}", upstream(), mIdentity.entryId());
        pullNewerConfig(context, frame);
        mListener.onUp(this);
    }

    private void handle(ChannelHandlerContext context, Frame frame) {
        switch (frame.getBodyCase()) {
            case RESULT_HEAD -> onHead(frame.getResultHead());
            case RESULT_CHUNK -> onChunk(context, frame.getResultChunk());
            case RESULT_END -> onEnd(context, frame.getResultEnd());
            case CALL_REFUSED -> {
                updateLoad(frame.getCallRefused().getLoad());
                AttemptId id = ProtoConversions.fromProto(frame.getCallRefused().getId());
                PendingCall call = removePending(id);
                if (call != null) {
                    Refusal refusal = ProtoConversions.fromProto(frame.getCallRefused());
                    attempt(id, () -> call.listener().onRefused(refusal));
                }
            }
            case PONG -> updateLoad(frame.getPong().getLoad());
            case LOAD_REPORT -> updateLoad(frame.getLoadReport().getLoad());
            case GOAWAY -> mAccepting = false;
            case CLAIM_ANSWER -> mPendingQueries.onAnswer(frame.getClaimAnswer());
            default -> close(context, CloseReason.UNEXPECTED_FRAME);
        }
    }

    private void onHead(ResultHead head) {
        AttemptId id = ProtoConversions.fromProto(head.getId());
        PendingCall call = mPending.get(id);
        if (call == null) {
            events().onUnmatchedResult();
            return;
        }
        deliver(id, () -> call.listener().onHead(head.getStatus(), head.getContentType()));
    }

    /** Delivers a part of a response; the call is cancelled and fails if the listener throws. */
    private void deliver(AttemptId id, Runnable delivery) {
        if (attempt(id, delivery)) {
            return;
        }
        PendingCall call = mPending.get(id);
        if (call != null) {
            cancelCall(id);
            Refusal refusal =
                    Refusal.unknown(RefusalReason.INTERNAL, "the receiver of the response failed");
            attempt(id, () -> call.listener().onRefused(refusal));
        }
    }

    private void onChunk(ChannelHandlerContext context, ResultChunk chunk) {
        AttemptId id = ProtoConversions.fromProto(chunk.getId());
        PendingCall call = mPending.get(id);
        if (call == null) {
            events().onUnmatchedResult();
            return;
        }
        if (!call.acceptChunk(chunk)) {
            close(context, CloseReason.UNEXPECTED_FRAME);
            return;
        }
        deliver(id, () -> call.listener().onChunk(chunk.getData().asReadOnlyByteBuffer()));
    }

    private void onEnd(ChannelHandlerContext context, ResultEnd end) {
        updateLoad(end.getLoad());
        AttemptId id = ProtoConversions.fromProto(end.getId());
        PendingCall pending = mPending.get(id);
        if (pending != null && !pending.isComplete(end)) {
            close(context, CloseReason.UNEXPECTED_FRAME);
            return;
        }
        PendingCall call = removePending(id);
        if (call != null) {
            CallSummary summary =
                    new CallSummary(
                            Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(end.getServiceMicros())),
                            Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(end.getQueueMicros())));
            attempt(id, () -> call.listener().onEnd(summary));
        }
    }

    /** Removes a pending call, or reports an unmatched result and returns null. */
    private PendingCall removePending(AttemptId id) {
        PendingCall call = mPending.remove(id);
        if (call == null) {
            events().onUnmatchedResult();
            return null;
        }
        mOwnCalls.decrementAndGet();
        return call;
    }

    private void updateLoad(Load load) {
        mLoad = ProtoConversions.fromProto(load);
        mLoadReceivedAtNanos = time().nanoTime();
        if (load.getLeaving()) {
            mAccepting = false;
        } else if (mWelcome != null) {
            mAccepting = true;
        }
    }

    @Override
    protected void onClosed(CloseReason reason) {
        mClosed = true;
        mAccepting = false;
        Refusal refusal =
                Refusal.unknown(
                        RefusalReason.CONNECTION_LOST,
                        "the connection to the agent was closed: " + reason.label());
        mPings.ifPresent(pings -> pings.cancel(false));
        Map<AttemptId, PendingCall> lostCalls = new HashMap<>(mPending);
        mPending.clear();
        mOwnCalls.addAndGet(-lostCalls.size());
        lostCalls.forEach((id, call) -> attempt(id, () -> call.listener().onRefused(refusal)));
        mPendingQueries.completeAllEmpty();
        if (mWelcome != null) {
            LOGGER.info(
                    "connection to agent of upstream {} closed: {}", upstream(), reason.label());
            attempt(upstream(), () -> mListener.onDown(this));
        }
    }

    @Override
    public CallHandle call(StageCall call, CallListener listener) {
        mOwnCalls.incrementAndGet();
        try {
            mContext.executor().execute(() -> sendCall(call, listener));
        } catch (RejectedExecutionException e) {
            refuseUnsentCall(call, listener);
        }
        return new Handle(call.id());
    }

    private void sendCall(StageCall call, CallListener listener) {
        if (mClosed) {
            refuseUnsentCall(call, listener);
            return;
        }
        Frame.Builder frame = Frame.newBuilder();
        if (!attempt(call.id(), () -> frame.setCall(encode(call)))) {
            Refusal refusal =
                    Refusal.notRun(RefusalReason.INTERNAL, "the call could not be encoded");
            refuseUnsentCall(call, listener, refusal);
            return;
        }
        mPending.put(call.id(), new PendingCall(listener));
        send(mContext, frame);
    }

    private void refuseUnsentCall(StageCall call, CallListener listener) {
        Refusal refusal =
                Refusal.notRun(RefusalReason.NO_UPSTREAM, "the connection to the agent is closed");
        refuseUnsentCall(call, listener, refusal);
    }

    private void refuseUnsentCall(StageCall call, CallListener listener, Refusal refusal) {
        mOwnCalls.decrementAndGet();
        attempt(call.id(), () -> listener.onRefused(refusal));
    }

    private void cancelCall(AttemptId id) {
        if (mPending.remove(id) != null) {
            mOwnCalls.decrementAndGet();
            Cancel cancel = Cancel.newBuilder().setId(ProtoConversions.toProto(id)).build();
            send(mContext, Frame.newBuilder().setCancel(cancel));
        }
    }

    private Call encode(StageCall call) {
        long remaining = Math.max(0, call.deadlineNanos() - time().nanoTime());
        Call.Builder message =
                Call.newBuilder()
                        .setId(ProtoConversions.toProto(call.id()))
                        .setTeam(call.team().value())
                        .setTeamWeight(call.teamWeight())
                        .setPriority(ProtoConversions.toProto(call.priority()))
                        .setRemainingMicros(TimeUnit.NANOSECONDS.toMicros(remaining))
                        .setIdempotent(call.stage().idempotent())
                        .setStreaming(call.stage().streaming())
                        .setPath(call.stage().path())
                        .setContentType(call.contentType())
                        .setBody(UnsafeByteOperations.unsafeWrap(call.body()))
                        .setCredit(INITIAL_CREDIT)
                        .setResumeFrom(call.resumeFrom());
        call.claim()
                .ifPresent(
                        claim ->
                                message.setClaim(
                                        ClaimProtoConversions.toProto(claim, incarnation())));
        return message.build();
    }

    @Override
    public CompletableFuture<Optional<ClaimAnswer>> queryClaim(ClaimRef claim, boolean fence) {
        CompletableFuture<Optional<ClaimAnswer>> answer = new CompletableFuture<>();
        try {
            mContext.executor().execute(() -> queryClaimInLoop(claim, fence, answer));
        } catch (RejectedExecutionException e) {
            answer.complete(Optional.empty());
        }
        return answer;
    }

    private void queryClaimInLoop(
            ClaimRef claim, boolean fence, CompletableFuture<Optional<ClaimAnswer>> answer) {
        if (mClosed) {
            answer.complete(Optional.empty());
            return;
        }
        ClaimQuery query =
                ClaimQuery.newBuilder()
                        .setQuery(mPendingQueries.add(answer))
                        .setClaim(ClaimProtoConversions.toProto(claim, incarnation()))
                        .setFence(fence)
                        .build();
        send(mContext, Frame.newBuilder().setClaimQuery(query));
    }

    /** Sends a ping, which like every frame carries the configuration revision of this process. */
    void sendPing() {
        mContext.executor().execute(this::sendPingInLoop);
    }

    private void sendPingInLoop() {
        if (!mClosed) {
            send(mContext, Frame.newBuilder().setPing(Ping.newBuilder().setToken(mPingToken++)));
        }
    }

    /** Sets whether new calls are kept away from this connection. */
    void setDraining(boolean draining) {
        mDraining = draining;
    }

    /** Closes the connection. */
    void disconnect() {
        mContext.executor().execute(() -> close(mContext, CloseReason.CLOSED_HERE));
    }

    @Override
    public UpstreamId upstream() {
        return mUpstream;
    }

    @Override
    public GroupId group() {
        return mGroup;
    }

    @Override
    public DataCentreId dataCentre() {
        return mDataCentre;
    }

    @Override
    public long incarnation() {
        return mWelcome.getIncarnation();
    }

    @Override
    public boolean isAccepting() {
        return mAccepting && !mDraining;
    }

    @Override
    public Candidate candidate(String region) {
        long age = time().nanoTime() - mLoadReceivedAtNanos;
        return new Candidate(upstream(), dataCentre(), region, mLoad, age, mOwnCalls.get());
    }

    /** Controls one call. Actions run on the event loop and therefore after the call was sent. */
    private final class Handle implements CallHandle {

        private final AttemptId mId;

        Handle(AttemptId id) {
            mId = id;
        }

        @Override
        public void cancel() {
            execute(() -> cancelCall(mId));
        }

        @Override
        public void grant(int chunks) {
            execute(() -> grantInLoop(chunks));
        }

        private void grantInLoop(int chunks) {
            if (mPending.containsKey(mId)) {
                Credit credit =
                        Credit.newBuilder()
                                .setId(ProtoConversions.toProto(mId))
                                .setChunks(chunks)
                                .build();
                send(mContext, Frame.newBuilder().setCredit(credit));
            }
        }

        private void execute(Runnable action) {
            try {
                mContext.executor().execute(action);
            } catch (RejectedExecutionException e) {
                LOGGER.debug("event loop has shut down; call {} was already ended", mId);
            }
        }
    }
}
