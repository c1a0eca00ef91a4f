package org.boragethread.core.stage;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.boragethread.core.upstream.UpstreamNode;

/** Calls upstreams that make pieces. Each receiver is called once, never during the call itself. */
public interface PieceCaller {

    /**
     * Makes pieces.
     *
     * @param timeout time in which the answer must arrive
     */
    void make(
            UpstreamNode upstream,
            List<PieceWork> pieces,
            Duration timeout,
            Consumer<Either<BatchFailure, BatchAnswer>> receiver);

    /** Frees results; a failure is only logged, as results are freed by time too. */
    void free(UpstreamNode upstream, Collection<String> handles);
}
