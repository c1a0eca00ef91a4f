package org.boragethread.core.log;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;

/** The platform's list of VMs, which is eventually consistent. */
public interface VmDirectory {

    /**
     * Fetches the list. The future never completes exceptionally and may complete on any thread.
     */
    CompletableFuture<Either<LogError, VmList>> fetch();
}
