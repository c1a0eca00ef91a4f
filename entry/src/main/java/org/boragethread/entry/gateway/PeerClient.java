package org.boragethread.entry.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.boragethread.core.stage.CoordinatorClient;
import org.boragethread.core.stage.HeldResult;
import org.boragethread.core.stage.PendingPiece;
import org.boragethread.core.stage.PieceWork;
import org.boragethread.core.stage.ResultLocation;
import org.boragethread.core.stage.StageFailure;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.entry.placement.ReportedDelay;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.process.log.EventLog;
import org.boragethread.wire.http.BufferedResponse;
import org.boragethread.wire.http.CallControl;
import org.boragethread.wire.http.CallFailure;
import org.boragethread.wire.http.CallListener;
import org.boragethread.wire.http.HttpCall;
import org.boragethread.wire.http.HttpConnectionPool;
import org.boragethread.wire.proto.PieceDone;
import org.boragethread.wire.proto.ResultHeld;
import org.boragethread.wire.proto.ResultsFree;
import org.boragethread.wire.proto.ResultsHeld;
import org.boragethread.wire.proto.StageWork;
import org.boragethread.wire.proto.StageWorkDone;

/** Delegates the pieces of stages to the entries that coordinate their groups. */
final class PeerClient implements CoordinatorClient {

    static final String SUBMIT_PATH = "/pieces";
    static final String FREE_PATH = "/results";
    static final String REPORT_PATH = "/held-results";

    private static final int OK = 200;
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(150);

    /** Time in which a peer must confirm that it took the pieces; a live one does so at once. */
    private static final Duration CONFIRM_TIMEOUT = Duration.ofMillis(250);

    /**
     * Time in which a peer must confirm a notification, long enough for two connection attempts.
     */
    private static final Duration NOTIFY_TIMEOUT = Duration.ofMillis(500);

    private static final int MAX_CONFIRMATION_BYTES = 1024;

    /** More than the handles of all pieces that one call delegates. */
    private static final int MAX_RESPONSE_BYTES = 1 << 20;

    private final HttpConnectionPool mConnections;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final EventLog mLog;

    PeerClient(HttpConnectionPool connections, Scheduler scheduler, TimeSource time, EventLog log) {
        mConnections = connections;
        mScheduler = scheduler;
        mTime = time;
        mLog = log;
    }

    @Override
    public void submit(String peer, GroupId group, List<PendingPiece> pieces, Runnable fallback) {
        StageWork work = encode(group, pieces);
        PendingSubmission pending = new PendingSubmission(peer, pieces, fallback);
        pending.mControl = mConnections.send(createCall(peer, SUBMIT_PATH, work), pending);
        pending.mTimer =
                mScheduler.schedule(
                        CONFIRM_TIMEOUT, () -> pending.giveUp("no confirmation in time"));
        pieces.get(0).setOnCancel(pending::cancel);
    }

    private StageWork encode(GroupId group, List<PendingPiece> pieces) {
        PendingPiece first = pieces.get(0);
        PieceWork work = first.work();
        long now = mTime.nanoTime();
        StageWork.Builder builder =
                StageWork.newBuilder()
                        .setGroup(group.value())
                        .setRequestId(work.requestId())
                        .setStage(work.stage())
                        .setKey(work.key())
                        .setNeedsInputs(work.inputs().isPresent())
                        .addAllInputs(work.inputs().orElse(List.of()))
                        .setResultBytes(work.resultBytes())
                        .setDeadlineLeftNanos(work.deadlineNanos() - now)
                        .setTargetLeftNanos(first.urgency().targetNanos() - now)
                        .setPriority(first.urgency().priority())
                        .setHoldsInputs(first.urgency().holdsInputs())
                        .setFollowed(first.urgency().hasDependents())
                        .setTeam(first.urgency().team())
                        .setContinues(first.urgency().isContinuation())
                        .setPreferred(
                                first.preferred().map(dataCentre -> dataCentre.value()).orElse(""));
        pieces.forEach(piece -> builder.addNumbers(piece.work().number()));
        return builder.build();
    }

    @Override
    public void free(
            String peer,
            GroupId group,
            UpstreamId upstream,
            Collection<String> handles,
            Runnable fallback) {
        ResultsFree free =
                ResultsFree.newBuilder()
                        .setGroup(group.value())
                        .setMaker(upstream.value())
                        .addAllHandles(handles)
                        .build();
        notifyPeer(createCall(peer, FREE_PATH, free), fallback);
    }

    @Override
    public void reportHeldResults(String peer, GroupId group, Collection<HeldResult> results) {
        long now = mTime.nanoTime();
        ResultsHeld.Builder held = ResultsHeld.newBuilder().setGroup(group.value());
        for (HeldResult result : results) {
            held.addResults(
                    ResultHeld.newBuilder()
                            .setMaker(result.location().upstream().value())
                            .setHandle(result.location().handle())
                            .setBytes(result.bytes())
                            .setLeftNanos(result.expiresAtNanos() - now));
        }
        heldResults(peer, group, results.size()).with("outcome", "reported").info();
        notifyPeer(
                createCall(peer, REPORT_PATH, held.build()),
                () -> heldResults(peer, group, results.size()).with("outcome", "lost").warn());
    }

    private EventLog.Line heldResults(String peer, GroupId group, int results) {
        return mLog.event("held-results")
                .with("peer", peer)
                .with("group", group)
                .with("results", results);
    }

    private void notifyPeer(HttpCall call, Runnable fallback) {
        BufferedResponse.fetch(
                mConnections,
                mScheduler,
                call,
                NOTIFY_TIMEOUT,
                MAX_CONFIRMATION_BYTES,
                response -> {
                    if (response.isLeft() || response.get().status() != OK) {
                        fallback.run();
                    }
                });
    }

    static HttpCall createCall(String peer, String path, MessageLite message) {
        byte[] body = message.toByteArray();
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.wrappedBuffer(body));
        request.headers()
                .set(HttpHeaderNames.HOST, peer)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        int colon = peer.lastIndexOf(':');
        InetSocketAddress address =
                new InetSocketAddress(
                        peer.substring(0, colon), Integer.parseInt(peer.substring(colon + 1)));
        return new HttpCall(address, request, false, CONNECT_TIMEOUT, Optional.empty());
    }

    /** A batch of pieces delegated to a peer. */
    private final class PendingSubmission implements CallListener {

        private final String mPeer;
        private final List<PendingPiece> mPieces;
        private final Runnable mFallback;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private CallControl mControl;
        private Scheduler.Timer mTimer;
        private int mStatus;

        PendingSubmission(String peer, List<PendingPiece> pieces, Runnable fallback) {
            mPeer = peer;
            mPieces = pieces;
            mFallback = fallback;
        }

        @Override
        public void onHead(HttpResponse head) {
            mStatus = head.status().code();
            mTimer.cancel();
            long remainingNanos = mPieces.get(0).work().deadlineNanos() - mTime.nanoTime();
            mTimer =
                    mScheduler.schedule(
                            Duration.ofNanos(Math.max(0, remainingNanos)), this::onDeadline);
        }

        @Override
        public void onBody(ByteBuf data) {
            byte[] bytes = new byte[data.readableBytes()];
            data.readBytes(bytes);
            mBody.writeBytes(bytes);
            if (mBody.size() > MAX_RESPONSE_BYTES) {
                giveUp("the response is larger than " + MAX_RESPONSE_BYTES + " bytes");
            }
        }

        @Override
        public void onEnd() {
            mTimer.cancel();
            if (mStatus != OK) {
                runFallback("status " + mStatus);
                return;
            }
            try {
                complete(StageWorkDone.parseFrom(mBody.toByteArray()));
            } catch (InvalidProtocolBufferException e) {
                runFallback(e.getMessage());
            }
        }

        @Override
        public void onFailure(CallFailure failure) {
            mTimer.cancel();
            runFallback(failure.detail());
        }

        void cancel() {
            mTimer.cancel();
            mControl.cancel();
        }

        private void onDeadline() {
            cancel();
            StageFailure failure = new StageFailure(StageFailure.Kind.DEADLINE, "peer " + mPeer);
            for (PendingPiece piece : mPieces) {
                if (!piece.isCancelled()) {
                    piece.listener().onFailed(piece.work(), failure);
                }
            }
        }

        private void giveUp(String detail) {
            cancel();
            runFallback(detail);
        }

        private void runFallback(String detail) {
            if (mPieces.get(0).isCancelled()) {
                return;
            }
            mLog.event("coordinator", mPieces.get(0).work().requestId())
                    .with("peer", mPeer)
                    .with("outcome", "passed-over")
                    .with("detail", detail)
                    .warn();
            mFallback.run();
        }

        private void complete(StageWorkDone done) {
            Map<Integer, PieceDone> byNumber = new HashMap<>();
            done.getPiecesList().forEach(piece -> byNumber.put(piece.getNumber(), piece));
            for (PendingPiece piece : mPieces) {
                if (!piece.isCancelled()) {
                    complete(piece, byNumber.get(piece.work().number()));
                }
            }
        }

        private void complete(PendingPiece piece, PieceDone done) {
            if (done != null && !done.getHandle().isEmpty()) {
                ResultLocation location =
                        new ResultLocation(done.getHandle(), new UpstreamId(done.getMaker()));
                piece.listener().onCompleted(piece.work(), location);
                return;
            }
            StageFailure.Kind kind =
                    done == null
                            ? StageFailure.Kind.FAILED
                            : StageFailure.Kind.valueOf(done.getFailure());
            Optional<Duration> delay =
                    Optional.ofNullable(done)
                            .map(PieceDone::getDelayNanos)
                            .filter(nanos -> nanos > 0)
                            .map(ReportedDelay::decode);
            piece.listener().onFailed(piece.work(), new StageFailure(kind, "peer " + mPeer, delay));
        }
    }
}
