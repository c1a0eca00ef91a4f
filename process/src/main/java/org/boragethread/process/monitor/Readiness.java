package org.boragethread.process.monitor;

import java.util.Optional;

/** Reports whether a process is ready to accept work. */
public interface Readiness {

    /** Returns the reason why the process is not ready, or empty if it is ready. */
    Optional<String> notReadyReason();
}
