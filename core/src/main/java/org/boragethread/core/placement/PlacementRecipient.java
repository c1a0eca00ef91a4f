package org.boragethread.core.placement;

import java.util.function.Consumer;
import org.boragethread.core.callback.CallbackGuard;

/** Receives the outcome of one request, once; a repeated request replaces the listener. */
final class PlacementRecipient {

    private final CallbackGuard mGuard;
    private PlacementListener mListener;
    private CallbackGuard.Owner mOwner;

    PlacementRecipient(CallbackGuard guard, PlacementListener listener) {
        mGuard = guard;
        replace(listener);
    }

    void replace(PlacementListener listener) {
        mListener = listener;
        mOwner = mGuard.current();
    }

    void notify(Consumer<PlacementListener> call) {
        PlacementListener listener = mListener;
        mGuard.run(mOwner, () -> call.accept(listener));
    }
}
