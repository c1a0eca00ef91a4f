package org.boragethread.core.stage;

import java.time.Duration;
import org.boragethread.core.upstream.UpstreamNode;

/** Learns which stages are delayed or rejected, for logs and counters. */
public interface StageObserver {

    /**
     * A new stage was rejected, because it would end too late.
     *
     * @param work first piece of the stage
     * @param delay expected time until the stage would start
     */
    void onRejected(PieceWork work, int pieces, Duration delay);

    /** An upstream is reserved for a stage that fits nowhere at present. */
    void onReserved(UpstreamNode upstream, PieceWork work, int pieces);
}
