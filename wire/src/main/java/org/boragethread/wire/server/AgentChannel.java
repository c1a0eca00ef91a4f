package org.boragethread.wire.server;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragethread.core.claim.ClaimAnswer;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.outcome.AttemptId;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.upstream.UpstreamLoad;
import org.boragethread.wire.frame.ClaimProtoConversions;
import org.boragethread.wire.frame.CloseReason;
import org.boragethread.wire.frame.FrameHandler;
import org.boragethread.wire.frame.ProtoConversions;
import org.boragethread.wire.frame.SharedKey;
import org.boragethread.wire.frame.WireSettings;
import org.boragethread.wire.proto.Call;
import org.boragethread.wire.proto.Challenge;
import org.boragethread.wire.proto.ClaimQuery;
import org.boragethread.wire.proto.Frame;
import org.boragethread.wire.proto.Goaway;
import org.boragethread.wire.proto.Hello;
import org.boragethread.wire.proto.Pong;
import org.boragethread.wire.proto.Welcome;

/** The agent's end of one connection from an entry. Its state is confined to the event loop. */
final class AgentChannel extends FrameHandler {

    private static final Logger LOGGER = LogManager.getLogger(AgentChannel.class);

    private final AgentServer mServer;
    private final byte[] mNonce = SharedKey.createNonce();
    private final Map<AttemptId, IncomingCall> mCalls = new HashMap<>();
    private ChannelHandlerContext mContext;
    private boolean mHandshakeComplete;

    AgentChannel(AgentServer server, TimeSource time) {
        super(server.events(), server.config(), time);
        mServer = server;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
        Challenge challenge = Challenge.newBuilder().setNonce(ByteString.copyFrom(mNonce)).build();
        send(context, Frame.newBuilder().setChallenge(challenge));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (!mHandshakeComplete) {
            handleHandshake(context, frame);
            return;
        }
        pullNewerConfig(context, frame);
        if (!handleConfigFrame(context, frame)) {
            handle(context, frame);
        }
    }

    private void handleHandshake(ChannelHandlerContext context, Frame frame) {
        if (frame.getBodyCase() != Frame.BodyCase.HELLO) {
            close(context, CloseReason.UNEXPECTED_FRAME);
            return;
        }
        Hello hello = frame.getHello();
        if (hello.getProtocolVersion() != WireSettings.PROTOCOL_VERSION) {
            close(context, CloseReason.BAD_VERSION);
            return;
        }
        SharedKey key = mServer.settings().key();
        byte[] entryNonce = hello.getNonce().toByteArray();
        byte[] proof = hello.getProof().toByteArray();
        if (!key.verify(proof, SharedKey.Role.ENTRY, mNonce, entryNonce)) {
            LOGGER.warn(
                    "entry {} at {} uses a different shared key: set the same key on both sides",
                    hello.getEntryId(),
                    context.channel().remoteAddress());
            close(context, CloseReason.BAD_PROOF);
            return;
        }
        mHandshakeComplete = true;
        send(context, Frame.newBuilder().setWelcome(createWelcome(key, entryNonce)));
        pullNewerConfig(context, frame);
    }

    private Welcome createWelcome(SharedKey key, byte[] entryNonce) {
        AgentIdentity identity = mServer.identity();
        byte[] proof = key.computeProof(SharedKey.Role.AGENT, entryNonce, mNonce);
        return Welcome.newBuilder()
                .setProof(ByteString.copyFrom(proof))
                .setUpstream(identity.upstream().value())
                .setGroup(identity.group().value())
                .setDataCentre(identity.dataCentre().value())
                .setIncarnation(identity.incarnation())
                .setLoad(ProtoConversions.toProto(mServer.load()))
                .setProtocolVersion(WireSettings.PROTOCOL_VERSION)
                .build();
    }

    private void handle(ChannelHandlerContext context, Frame frame) {
        switch (frame.getBodyCase()) {
            case CALL -> onCall(context, frame.getCall());
            case CANCEL -> {
                IncomingCall call =
                        mCalls.remove(ProtoConversions.fromProto(frame.getCancel().getId()));
                if (call != null) {
                    attempt(call.id(), call::cancel);
                }
            }
            case CREDIT -> {
                IncomingCall call =
                        mCalls.get(ProtoConversions.fromProto(frame.getCredit().getId()));
                if (call != null) {
                    int chunks = frame.getCredit().getChunks();
                    attempt(call.id(), () -> call.addCredit(chunks));
                }
            }
            case PING -> {
                Pong.Builder pong = Pong.newBuilder().setToken(frame.getPing().getToken());
                pong.setLoad(ProtoConversions.toProto(mServer.load()));
                send(context, Frame.newBuilder().setPong(pong));
            }
            case CLAIM_QUERY -> onClaimQuery(context, frame.getClaimQuery());
            default -> close(context, CloseReason.UNEXPECTED_FRAME);
        }
    }

    private void onClaimQuery(ChannelHandlerContext context, ClaimQuery query) {
        ClaimRef claim = ClaimProtoConversions.fromProto(query.getClaim());
        ClaimAnswer answer =
                mServer.claims().query(claim, query.getClaim().getIncarnation(), query.getFence());
        send(
                context,
                Frame.newBuilder()
                        .setClaimAnswer(ClaimProtoConversions.toProto(query.getQuery(), answer)));
    }

    private void onCall(ChannelHandlerContext context, Call message) {
        long remainingNanos = TimeUnit.MICROSECONDS.toNanos(message.getRemainingMicros());
        IncomingCall call = new IncomingCall(message, time().nanoTime() + remainingNanos, this);
        if (mCalls.putIfAbsent(call.id(), call) != null) {
            close(context, CloseReason.UNEXPECTED_FRAME);
            return;
        }
        if (!attempt(call.id(), () -> mServer.handler().onCall(call))) {
            attempt(call.id(), () -> refuseFailed(call));
        }
    }

    /** Refuses a call whose handler threw; whether it ran is not known. */
    private void refuseFailed(IncomingCall call) {
        Refusal refusal = Refusal.unknown(RefusalReason.INTERNAL, "the handler of the call failed");
        call.refuse(refusal, UpstreamLoad.UNKNOWN);
    }

    void send(Frame.Builder frame) {
        if (mContext.executor().inEventLoop()) {
            send(mContext, frame);
        } else {
            mContext.executor().execute(() -> send(mContext, frame));
        }
    }

    void finish(IncomingCall call, Frame.Builder frame) {
        mContext.executor()
                .execute(
                        () -> {
                            mCalls.remove(call.id());
                            send(mContext, frame);
                        });
    }

    void sendGoaway(String reason) {
        send(Frame.newBuilder().setGoaway(Goaway.newBuilder().setReason(reason)));
    }

    @Override
    protected void onClosed(CloseReason reason) {
        mServer.removeChannel(this);
        List<IncomingCall> calls = new ArrayList<>(mCalls.values());
        mCalls.clear();
        calls.forEach(call -> attempt(call.id(), call::cancel));
    }
}
