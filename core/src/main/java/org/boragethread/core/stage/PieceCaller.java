package org.boragethread.core.stage;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.boragethread.core.upstream.UpstreamNode;

/**
 * Calls upstreams that execute pieces. Each callback is called once, never before the method has
 * returned.
 */
public interface PieceCaller {

    /**
     * Executes a batch of pieces.
     *
     * @param timeout time within which the response must arrive
     */
    void make(
            UpstreamNode upstream,
            List<PieceWork> pieces,
            Duration timeout,
            Consumer<Either<BatchFailure, BatchAnswer>> callback);

    /** Frees results. A failure is only logged, because upstreams drop results that expire. */
    void free(UpstreamNode upstream, Collection<String> handles);
}
