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
public interface BatchClient {

    /**
     * Executes a batch of pieces.
     *
     * @param timeout time within which the response must arrive
     */
    void execute(
            UpstreamNode upstream,
            List<PieceWork> pieces,
            Duration timeout,
            Consumer<Either<BatchFailure, BatchResponse>> callback);

    /** Frees results. A failure is only logged, because upstreams drop results that expire. */
    void free(UpstreamNode upstream, Collection<String> handles);
}
