package org.boragethread.process.monitor;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import org.boragethread.wire.frame.CloseReason;
import org.boragethread.wire.frame.WireEvents;

/** Counts closed connections by reason, and results that match no pending attempt. */
public final class WireMetrics implements WireEvents {

    private final Map<CloseReason, Counter> mClosed = new EnumMap<>(CloseReason.class);
    private final Counter mUnmatchedResults;
    private final Counter mCallbackFailures;

    /** Registers all counters, so that each is exported from the start. */
    public WireMetrics(MeterRegistry registry) {
        for (CloseReason reason : CloseReason.values()) {
            mClosed.put(
                    reason,
                    Counter.builder("boragethread.connections.closed")
                            .description("Connections between entries and agents that ended")
                            .tag("reason", reason.label())
                            .register(registry));
        }
        mUnmatchedResults =
                Counter.builder("boragethread.results.stray")
                        .description("Results that matched no waiting attempt")
                        .register(registry);
        mCallbackFailures =
                Counter.builder("boragethread.connections.callback.failures")
                        .description("Callbacks for calls and connections that threw")
                        .register(registry);
    }

    @Override
    public void onClosed(CloseReason reason) {
        mClosed.get(reason).increment();
    }

    @Override
    public void onUnmatchedResult() {
        mUnmatchedResults.increment();
    }

    @Override
    public void onCallbackFailed() {
        mCallbackFailures.increment();
    }
}
