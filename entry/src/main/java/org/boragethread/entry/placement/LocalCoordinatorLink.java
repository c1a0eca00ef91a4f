package org.boragethread.entry.placement;

import java.util.Optional;
import org.boragethread.core.callback.CallbackGuard;
import org.boragethread.wire.proto.PlacementAsked;
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
    public Call ask(String coordinator, PlacementAsked asked, Listener listener) {
        CallbackGuard.Owner owner = mGuard.current();
        Optional<PlacementServer.Decided> pending =
                mServer.place(
                        asked, decision -> mGuard.run(owner, () -> listener.onDecision(decision)));
        if (pending.isEmpty()) {
            listener.onFailed("not-coordinated");
        }
        return () -> pending.ifPresent(PlacementServer.Decided::withdraw);
    }

    @Override
    public void report(String coordinator, PlacementReports reports, Receipt receiver) {
        mServer.apply(reports);
        receiver.onReported(true);
    }
}
