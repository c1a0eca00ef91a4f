package org.boragethread.core.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.boragethread.core.callback.CallbackGuard;

/** Counts tasks of timers that threw. */
public final class TimerFailureCounter implements CallbackGuard.Owner {

    private final Counter mFailures;

    /** Registers the counter. */
    public TimerFailureCounter(MeterRegistry registry) {
        mFailures =
                Counter.builder("boragethread.timers.failures")
                        .description("Tasks of timers that threw")
                        .register(registry);
    }

    @Override
    public void onCallbackFailed(Throwable cause) {
        mFailures.increment();
    }
}
