package org.boragethread.core.stage;

import java.time.Duration;
import org.boragethread.core.upstream.UpstreamNode;

/** Ignores what it learns. */
final class IgnoringObserver implements StageObserver {

    @Override
    public void onRejected(PieceWork work, int pieces, Duration delay) {}

    @Override
    public void onReserved(UpstreamNode upstream, PieceWork work, int pieces) {}
}
