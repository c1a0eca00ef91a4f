package org.boragethread.core.admission;

import java.time.Duration;
import org.boragethread.core.limit.LimitChange;
import org.boragethread.model.outcome.RefusalReason;

/**
 * Listener for admission decisions, used for metrics and logs. Called without holding the lock of
 * the admission controller.
 */
public interface AdmissionEvents {

    /** Ignores all events. */
    AdmissionEvents NONE = new AdmissionEvents() {};

    /** Called when a queued call was admitted. */
    default void onAdmitted(Duration queueTime) {}

    /** Called when a call was refused. */
    default void onRefused(RefusalReason reason) {}

    /** Called when a queued call was refused in favour of a call that takes precedence. */
    default void onDisplaced() {}

    /** Called when the concurrency limit changed. */
    default void onLimitChanged(LimitChange change) {}
}
