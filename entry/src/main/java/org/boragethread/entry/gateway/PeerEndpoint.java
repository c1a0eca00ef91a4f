package org.boragethread.entry.gateway;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.boragethread.core.follow.ReadFailure;
import org.boragethread.core.follow.StoreEra;
import org.boragethread.core.follow.TopicRelay;
import org.boragethread.core.resume.StreamKey;
import org.boragethread.core.stage.HeldResult;
import org.boragethread.core.stage.PendingPiece;
import org.boragethread.core.stage.PieceListener;
import org.boragethread.core.stage.PieceUrgency;
import org.boragethread.core.stage.PieceWork;
import org.boragethread.core.stage.ResultLocation;
import org.boragethread.core.stage.StageFailure;
import org.boragethread.entry.placement.PeerCoordinatorLink;
import org.boragethread.entry.placement.PlacementServer;
import org.boragethread.entry.placement.ReportResult;
import org.boragethread.entry.rollout.RolloutReportReceiver;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.process.log.EventLog;
import org.boragethread.wire.proto.PieceDone;
import org.boragethread.wire.proto.PlacementDecision;
import org.boragethread.wire.proto.PlacementQuery;
import org.boragethread.wire.proto.PlacementReports;
import org.boragethread.wire.proto.PlacementSender;
import org.boragethread.wire.proto.ResultHeld;
import org.boragethread.wire.proto.ResultsFree;
import org.boragethread.wire.proto.ResultsHeld;
import org.boragethread.wire.proto.RolloutReport;
import org.boragethread.wire.proto.StageWork;
import org.boragethread.wire.proto.StageWorkDone;
import org.boragethread.wire.proto.StreamBegun;
import org.boragethread.wire.proto.StreamOrigins;
import org.boragethread.wire.proto.StreamQuery;
import org.boragethread.wire.proto.TopicRead;

/**
 * Handles a connection from another entry that has its pieces of stages scheduled by this one,
 * reads topics of the store through it, or has it remember where streams began.
 */
final class PeerEndpoint extends SimpleChannelInboundHandler<FullHttpRequest> {

    private final Gateway mGateway;
    private List<PendingPiece> mPendingPieces = List.of();
    private Optional<PieceCollector> mCollector = Optional.empty();
    private TopicRelay.PendingRead mPendingRead = () -> {};
    private Optional<PlacementResponse> mPlacement = Optional.empty();

    PeerEndpoint(Gateway gateway) {
        mGateway = gateway;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request)
            throws InvalidProtocolBufferException {
        byte[] body = ByteBufUtil.getBytes(request.content());
        if (request.uri().equals(PeerClient.FREE_PATH)) {
            freeResults(ResultsFree.parseFrom(body));
            respond(context, HttpResponseStatus.OK);
            return;
        }
        if (request.uri().equals(PeerClient.REPORT_PATH)) {
            countHeldResults(ResultsHeld.parseFrom(body));
            respond(context, HttpResponseStatus.OK);
            return;
        }
        if (request.uri().equals(StreamOriginClient.RECORD_PATH)) {
            rememberStreams(StreamOrigins.parseFrom(body));
            respond(context, HttpResponseStatus.OK);
            return;
        }
        if (request.uri().equals(StreamOriginClient.QUERY_PATH)) {
            respond(context, findStream(StreamQuery.parseFrom(body)));
            return;
        }
        if (request.uri().equals(PeerCoordinatorLink.REPORT_PATH)) {
            applyPlacementReports(context, PlacementReports.parseFrom(body));
            return;
        }
        if (request.uri().equals(RolloutReportClient.PATH)) {
            respond(context, takeRolloutReport(RolloutReport.parseFrom(body)));
            return;
        }
        if (mGateway.isLeaving() || !mPendingPieces.isEmpty() || mPlacement.isPresent()) {
            respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        if (request.uri().equals(PeerTopicClient.PATH)) {
            relayTopic(context, TopicRead.parseFrom(body));
            return;
        }
        if (request.uri().equals(PeerCoordinatorLink.ASK_PATH)) {
            placeRequest(context, PlacementQuery.parseFrom(body));
            return;
        }
        schedulePieces(context, StageWork.parseFrom(body));
    }

    /** Acknowledges a question about a placement at once; the decision follows. */
    private void placeRequest(ChannelHandlerContext context, PlacementQuery query) {
        if (!mGateway.placementServer().coordinates(new GroupId(query.getGroup()))) {
            respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        PlacementResponse response = new PlacementResponse(context);
        mPlacement = Optional.of(response);
        Optional<PlacementServer.PlacementHandle> placement;
        try {
            placement = mGateway.placementServer().place(query, response);
        } catch (IllegalArgumentException e) {
            mPlacement = Optional.empty();
            logPlacement(query.getSender()).with("outcome", "invalid").with("detail", e).warn();
            respond(context, HttpResponseStatus.valueOf(PeerCoordinatorLink.INVALID));
            return;
        }
        if (placement.isEmpty()) {
            mPlacement = Optional.empty();
            response.refuse();
            return;
        }
        response.mPlacement = placement;
        response.acknowledge();
    }

    private void applyPlacementReports(ChannelHandlerContext context, PlacementReports reports) {
        ReportResult result = mGateway.placementServer().apply(reports);
        switch (result) {
            case CONFIRMED -> respond(context, HttpResponseStatus.OK);
            case RESTORE_NEEDED ->
                    respond(
                            context,
                            HttpResponseStatus.valueOf(PeerCoordinatorLink.RESTORE_NEEDED));
            default -> {
                logPlacement(reports.getSender())
                        .with("outcome", "refused")
                        .with(
                                "detail",
                                "a later start of this entry is known: check the clock of its"
                                        + " machine")
                        .warn();
                respond(context, HttpResponseStatus.valueOf(PeerCoordinatorLink.REFUSED));
            }
        }
    }

    private EventLog.Line logPlacement(PlacementSender sender) {
        return mGateway.log().event("placement-sender").with("peer", sender.getAddress());
    }

    private static HttpResponse chunkedHead() {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        return head;
    }

    private HttpResponseStatus takeRolloutReport(RolloutReport report) {
        RolloutReportReceiver.Answer answer =
                new RolloutReportReceiver(mGateway.rollouts()).receive(report);
        switch (answer) {
            case TAKEN:
                return HttpResponseStatus.OK;
            case MALFORMED:
                return HttpResponseStatus.BAD_REQUEST;
            default:
                // The sender avoids an entry that does not confirm its report.
                return HttpResponseStatus.SERVICE_UNAVAILABLE;
        }
    }

    private void rememberStreams(StreamOrigins streams) {
        for (StreamBegun stream : streams.getStreamsList()) {
            mGateway.streamOrigins()
                    .remember(
                            StreamOriginClient.decodeKey(stream),
                            StreamOriginClient.decodeOrigin(stream));
        }
    }

    private StreamOrigins findStream(StreamQuery query) {
        StreamKey key = new StreamKey(query.getKeyHigh(), query.getKeyLow());
        StreamOrigins.Builder streams = StreamOrigins.newBuilder();
        mGateway.streamOrigins()
                .recall(key)
                .ifPresent(origin -> streams.addStreams(StreamOriginClient.encode(key, origin)));
        return streams.build();
    }

    private static void respond(ChannelHandlerContext context, StreamOrigins streams) {
        ByteBuf body = Unpooled.wrappedBuffer(streams.toByteArray());
        respond(context, HttpResponseStatus.OK, body);
    }

    private void freeResults(ResultsFree free) {
        mGateway.stageRouter()
                .freeAtUpstream(new UpstreamId(free.getMaker()), free.getHandlesList());
    }

    private void countHeldResults(ResultsHeld held) {
        long now = mGateway.time().nanoTime();
        List<HeldResult> results = new ArrayList<>();
        for (ResultHeld result : held.getResultsList()) {
            ResultLocation location =
                    new ResultLocation(result.getHandle(), new UpstreamId(result.getMaker()));
            results.add(new HeldResult(location, result.getBytes(), now + result.getLeftNanos()));
        }
        mGateway.stageRouter().addHeldResults(results);
    }

    private void relayTopic(ChannelHandlerContext context, TopicRead read) {
        Optional<TopicRelay> relay = mGateway.topicRelay(read.getTopic());
        if (relay.isEmpty()) {
            respond(context, HttpResponseStatus.NOT_FOUND);
            return;
        }
        mPendingRead =
                relay.get()
                        .read(
                                read.getOffset(),
                                new StoreEra(read.getStoreEra()),
                                read.getSeenUpdate(),
                                update -> respond(context, update));
    }

    private static void respond(
            ChannelHandlerContext context, Either<ReadFailure, TopicRelay.Update> update) {
        if (update.isLeft()) {
            respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE);
        } else {
            byte[] body = PeerTopicClient.encode(update.get()).toByteArray();
            respond(context, HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
        }
    }

    private void schedulePieces(ChannelHandlerContext context, StageWork work) {
        context.writeAndFlush(chunkedHead());
        GroupId group = new GroupId(work.getGroup());
        PieceCollector collector = new PieceCollector(context, work.getNumbersCount());
        mCollector = Optional.of(collector);
        long now = mGateway.time().nanoTime();
        PieceUrgency urgency =
                new PieceUrgency(
                        work.getPriority(),
                        now + work.getTargetLeftNanos(),
                        work.getHoldsInputs(),
                        work.getFollowed(),
                        work.getTeam(),
                        work.getContinues());
        Optional<DataCentreId> preferred =
                Optional.of(work.getPreferred())
                        .filter(name -> !name.isEmpty())
                        .map(DataCentreId::new);
        List<PendingPiece> pieces = new ArrayList<>();
        for (int number : work.getNumbersList()) {
            pieces.add(
                    new PendingPiece(
                            decodePiece(work, number, now), urgency, preferred, collector, now));
        }
        mPendingPieces = pieces;
        mGateway.batchScheduler(group).submit(pieces);
    }

    private static PieceWork decodePiece(StageWork work, int number, long now) {
        Optional<List<String>> inputs =
                work.getNeedsInputs()
                        ? Optional.of(List.copyOf(work.getInputsList()))
                        : Optional.empty();
        return new PieceWork(
                work.getRequestId(),
                work.getStage(),
                number,
                now + work.getDeadlineLeftNanos(),
                work.getKey(),
                work.getResultBytes(),
                inputs);
    }

    private static void respond(ChannelHandlerContext context, HttpResponseStatus status) {
        respond(context, status, Unpooled.EMPTY_BUFFER);
    }

    private static void respond(
            ChannelHandlerContext context, HttpResponseStatus status, ByteBuf body) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        context.writeAndFlush(response);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mPendingPieces.forEach(PendingPiece::cancel);
        mPendingPieces = List.of();
        mCollector.ifPresent(PieceCollector::abandon);
        mPendingRead.cancel();
        mPlacement.ifPresent(PlacementResponse::withdraw);
        mPlacement = Optional.empty();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mGateway.log()
                .event("peer-connection")
                .with("outcome", "closed")
                .with("detail", cause)
                .warn();
        context.close();
    }

    /** Sends the decision about a placement. */
    private final class PlacementResponse implements PlacementServer.Receiver {

        private final ChannelHandlerContext mContext;
        private Optional<PlacementServer.PlacementHandle> mPlacement = Optional.empty();
        private boolean mAcknowledged;

        PlacementResponse(ChannelHandlerContext context) {
            mContext = context;
        }

        /** Sends the head, unless the decision came at once and the head with it. */
        void acknowledge() {
            if (!mAcknowledged) {
                mAcknowledged = true;
                mContext.writeAndFlush(chunkedHead());
            }
        }

        void refuse() {
            if (mAcknowledged) {
                mContext.close();
            } else {
                respond(mContext, HttpResponseStatus.SERVICE_UNAVAILABLE);
            }
        }

        /** Closes the connection, which tells the sender to decide by itself. */
        @Override
        public void onSenderEnded() {
            PeerEndpoint.this.mPlacement = Optional.empty();
            mContext.close();
        }

        @Override
        public void onDecision(PlacementDecision decision) {
            PeerEndpoint.this.mPlacement = Optional.empty();
            if (!mAcknowledged) {
                mAcknowledged = true;
                mContext.write(chunkedHead());
            }
            ByteBuf body = Unpooled.wrappedBuffer(decision.toByteArray());
            mContext.write(new DefaultHttpContent(body));
            mContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                    .addListener(
                            written -> {
                                if (!written.isSuccess()) {
                                    withdraw();
                                }
                            });
        }

        void withdraw() {
            mPlacement.ifPresent(PlacementServer.PlacementHandle::withdraw);
        }
    }

    /** Collects the outcomes of the pieces and responds once all are known. */
    private final class PieceCollector implements PieceListener {

        private final ChannelHandlerContext mContext;
        private final StageWorkDone.Builder mResponse = StageWorkDone.newBuilder();
        private int mRemaining;

        PieceCollector(ChannelHandlerContext context, int pieces) {
            mContext = context;
            mRemaining = pieces;
        }

        /** Frees the results made so far, because the other entry no longer waits for them. */
        void abandon() {
            for (PieceDone piece : mResponse.getPiecesList()) {
                if (!piece.getHandle().isEmpty()) {
                    mGateway.stageRouter()
                            .freeAtUpstream(
                                    new UpstreamId(piece.getMaker()), List.of(piece.getHandle()));
                }
            }
        }

        @Override
        public void onCompleted(PieceWork work, ResultLocation location) {
            add(
                    PieceDone.newBuilder()
                            .setNumber(work.number())
                            .setHandle(location.handle())
                            .setMaker(location.upstream().value()));
        }

        @Override
        public void onFailed(PieceWork work, StageFailure failure) {
            add(
                    PieceDone.newBuilder()
                            .setNumber(work.number())
                            .setFailure(failure.kind().name())
                            .setDelayNanos(failure.delay().map(Duration::toNanos).orElse(0L)));
        }

        private void add(PieceDone.Builder piece) {
            mResponse.addPieces(piece);
            mRemaining--;
            if (mRemaining > 0) {
                return;
            }
            mPendingPieces = List.of();
            mCollector = Optional.empty();
            ByteBuf body = Unpooled.wrappedBuffer(mResponse.build().toByteArray());
            mContext.write(new DefaultHttpContent(body));
            mContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }
}
