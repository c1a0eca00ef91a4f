package org.boragethread.entry.placement;

import org.boragethread.wire.proto.PlacementDecision;
import org.boragethread.wire.proto.PlacementQuery;
import org.boragethread.wire.proto.PlacementReports;

/** Sends messages to coordinators. */
interface CoordinatorLink {

    /**
     * Asks for a placement.
     *
     * @param coordinator address of the coordinator
     */
    Call ask(String coordinator, PlacementQuery asked, Listener listener);

    /**
     * Reports what has happened to placed requests.
     *
     * @param listener told how the coordinator has responded
     */
    void report(String coordinator, PlacementReports reports, ReportListener listener);

    /** A query in progress. */
    interface Call {

        /** Withdraws the query; its listener is not called any more. */
        void cancel();
    }

    /** Receives the answer to a query: a decision or a failure, possibly at once. */
    interface Listener {

        /** The coordinator has taken the query and decides later. */
        void onAcknowledged();

        void onDecision(PlacementDecision decision);

        /**
         * The coordinator does not decide.
         *
         * @param reason for logs and metrics
         */
        void onFailed(String reason);

        /** The coordinator responds, but can't read the query. */
        void onInvalid();
    }

    /** Told how reports have arrived. */
    interface ReportListener {

        void onReported(ReportResult result);
    }
}
