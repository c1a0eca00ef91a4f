package org.boragethread.entry.placement;

import org.boragethread.wire.proto.PlacementAsked;
import org.boragethread.wire.proto.PlacementDecision;
import org.boragethread.wire.proto.PlacementReports;

/** The way from this entry to coordinators. */
interface CoordinatorLink {

    /**
     * Asks for a placement.
     *
     * @param coordinator address of the coordinator
     */
    Call ask(String coordinator, PlacementAsked asked, Listener listener);

    /**
     * Reports what has happened to placed requests.
     *
     * @param receiver told whether the coordinator has confirmed it in time
     */
    void report(String coordinator, PlacementReports reports, Receipt receiver);

    /** A question in progress. */
    interface Call {

        /** Withdraws the question; its listener is not called any more. */
        void cancel();
    }

    /** Receives the answer to a question: a decision or a failure, possibly at once. */
    interface Listener {

        /** The coordinator has taken the question and decides later. */
        void onAcknowledged();

        void onDecision(PlacementDecision decision);

        /**
         * The coordinator does not decide.
         *
         * @param reason for logs and metrics
         */
        void onFailed(String reason);
    }

    /** Told how reports have arrived. */
    interface Receipt {

        void onReported(boolean confirmed);
    }
}
