package org.boragethread.entry.placement;

import java.util.Optional;
import org.boragethread.core.callback.CallbackGuard;
import org.boragethread.wire.proto.PlacementDecision;
import org.boragethread.wire.proto.PlacementQuery;
import org.boragethread.wire.proto.PlacementReports;

/** Reaches this entry itself while it is a coordinator. */
final class LocalCoordinatorLink implements CoordinatorLink {

    private final PlacementServer mServer;
    private final CallbackGuard mGuard;

    LocalCoordinatorLink(PlacementServer server, CallbackGuard guard) {
        mServer = server;
        mGuard = guard;
    }

    @Override
    public Call ask(String coordinator, PlacementQuery asked, Listener listener) {
        CallbackGuard.Owner owner = mGuard.current();
        Optional<PlacementServer.PlacementHandle> pending;
        try {
            pending = mServer.place(asked, new Receiver(owner, listener));
        } catch (IllegalArgumentException e) {
            listener.onInvalid();
            return () -> {};
        }
        if (pending.isEmpty()) {
            listener.onFailed("not-coordinated");
        }
        return () -> pending.ifPresent(PlacementServer.PlacementHandle::withdraw);
    }

    @Override
    public void report(String coordinator, PlacementReports reports, ReportListener listener) {
        listener.onReported(mServer.apply(reports));
    }

    /** Passes the decision on for the owner of the request. */
    private final class Receiver implements PlacementServer.Receiver {

        private final CallbackGuard.Owner mOwner;
        private final Listener mListener;

        Receiver(CallbackGuard.Owner owner, Listener listener) {
            mOwner = owner;
            mListener = listener;
        }

        @Override
        public void onDecision(PlacementDecision decision) {
            mGuard.run(mOwner, () -> mListener.onDecision(decision));
        }

        @Override
        public void onSenderEnded() {
            mGuard.run(mOwner, () -> mListener.onFailed("not-listed"));
        }
    }
}
