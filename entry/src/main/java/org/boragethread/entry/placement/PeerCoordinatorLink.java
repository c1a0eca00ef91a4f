package org.boragethread.entry.placement;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import org.boragethread.core.time.Scheduler;
import org.boragethread.wire.http.BufferedResponse;
import org.boragethread.wire.http.CallControl;
import org.boragethread.wire.http.CallFailure;
import org.boragethread.wire.http.CallListener;
import org.boragethread.wire.http.HttpCall;
import org.boragethread.wire.http.HttpConnectionPool;
import org.boragethread.wire.proto.PlacementDecision;
import org.boragethread.wire.proto.PlacementQuery;
import org.boragethread.wire.proto.PlacementReports;

/** Reaches coordinators at the servers for entries. */
public final class PeerCoordinatorLink implements CoordinatorLink {

    public static final String ASK_PATH = "/placement";
    public static final String REPORT_PATH = "/placement-reports";

    /**
     * Time in which a coordinator must acknowledge a pending. A live one does so at once; the
     * caller waits meanwhile.
     */
    private static final Duration ACKNOWLEDGE_TIMEOUT = Duration.ofMillis(100);

    /** Time in which a coordinator must confirm reports, else nothing waits for it any more. */
    static final Duration REPORT_TIMEOUT = Duration.ofMillis(250);

    private static final int OK = 200;

    /** Status of a query that can't be read. */
    public static final int INVALID = 400;

    /** Status of reports whose sender is of an earlier incarnation than a known one. */
    public static final int REFUSED = 403;

    /** Status of reports that the coordinator needs a restore with. */
    public static final int RESTORE_NEEDED = 412;

    private static final int MAX_RESPONSE_BYTES = 4096;

    private final HttpConnectionPool mConnections;
    private final Scheduler mScheduler;
    private final Calls mCalls;

    /** Creates the calls to other entries. */
    public interface Calls {

        /** Returns a call that posts a message to an address, as IP:port. */
        HttpCall create(String address, String path, MessageLite message);
    }

    /** Creates a link over pooled connections. */
    public PeerCoordinatorLink(HttpConnectionPool connections, Scheduler scheduler, Calls calls) {
        mConnections = connections;
        mScheduler = scheduler;
        mCalls = calls;
    }

    @Override
    public Call ask(String coordinator, PlacementQuery asked, Listener listener) {
        PendingQuery pending = new PendingQuery(listener);
        pending.mControl = mConnections.send(mCalls.create(coordinator, ASK_PATH, asked), pending);
        pending.mTimer =
                mScheduler.schedule(
                        ACKNOWLEDGE_TIMEOUT, () -> pending.giveUp("no-acknowledgement"));
        return pending::cancel;
    }

    @Override
    public void report(String coordinator, PlacementReports reports, ReportListener listener) {
        BufferedResponse.fetch(
                mConnections,
                mScheduler,
                mCalls.create(coordinator, REPORT_PATH, reports),
                REPORT_TIMEOUT,
                MAX_RESPONSE_BYTES,
                response ->
                        listener.onReported(
                                response.isRight()
                                        ? result(response.get().status())
                                        : ReportResult.LOST));
    }

    private static ReportResult result(int status) {
        return switch (status) {
            case OK -> ReportResult.CONFIRMED;
            case RESTORE_NEEDED -> ReportResult.RESTORE_NEEDED;
            case REFUSED -> ReportResult.REFUSED;
            default -> ReportResult.LOST;
        };
    }

    /** One query to a coordinator. */
    private static final class PendingQuery implements CallListener {

        private final Listener mListener;
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private CallControl mControl;
        private Scheduler.Timer mTimer = () -> {};
        private int mStatus;

        PendingQuery(Listener listener) {
            mListener = listener;
        }

        @Override
        public void onHead(HttpResponse head) {
            mTimer.cancel();
            mStatus = head.status().code();
            if (mStatus == OK) {
                mListener.onAcknowledged();
            }
        }

        @Override
        public void onBody(ByteBuf data) {
            byte[] bytes = new byte[data.readableBytes()];
            data.readBytes(bytes);
            mBody.writeBytes(bytes);
            if (mBody.size() > MAX_RESPONSE_BYTES) {
                giveUp("malformed");
            }
        }

        @Override
        public void onEnd() {
            if (mStatus == INVALID) {
                mListener.onInvalid();
                return;
            }
            if (mStatus != OK) {
                mListener.onFailed("status-" + mStatus);
                return;
            }
            PlacementDecision decision;
            try {
                decision = PlacementDecision.parseFrom(mBody.toByteArray());
            } catch (InvalidProtocolBufferException e) {
                mListener.onFailed("malformed");
                return;
            }
            mListener.onDecision(decision);
        }

        @Override
        public void onFailure(CallFailure failure) {
            mTimer.cancel();
            mListener.onFailed("broken");
        }

        void cancel() {
            mTimer.cancel();
            mControl.cancel();
        }

        private void giveUp(String reason) {
            cancel();
            mListener.onFailed(reason);
        }
    }
}
