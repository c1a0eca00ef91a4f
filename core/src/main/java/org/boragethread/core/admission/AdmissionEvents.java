package org.boragethread.core.admission;

import java.time.Duration;
import org.boragethread.core.limit.LimitChange;
import org.boragethread.model.outcome.RefusalReason;

/** Receives what a gate does, for metrics and logs. Called without holding the gate's lock. */
public interface AdmissionEvents {

    /** Ignores all events. */
    AdmissionEvents NONE = new AdmissionEvents() {};

    /** A call was admitted after it had waited. */
    default void onAdmitted(Duration waited) {}

    /** A call was refused. */
    default void onRefused(RefusalReason reason) {}

    /** A waiting call was refused to make room for one that goes before it. */
    default void onDisplaced() {}

    /** The concurrency limit changed. */
    default void onLimitChanged(LimitChange change) {}
}
