package org.boragethread.core.pipeline;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.model.outcome.Ran;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.pipeline.Stage;

/** Baseline: tries again at once, up to a number of attempts, where that is safe. */
public final class BoundedAttempts implements AttemptPolicy {

    private final int mMax;

    /**
     * Makes a policy.
     *
     * @param max greatest number of attempts at one stage
     */
    public BoundedAttempts(int max) {
        mMax = max;
    }

    @Override
    public Optional<Duration> nextAttempt(
            Stage stage, Refusal refusal, int attempts, Duration remaining) {
        boolean safe = stage.idempotent() || refusal.ran() == Ran.NO;
        if (!safe || attempts >= mMax || remaining.isNegative()) {
            return Optional.empty();
        }
        return Optional.of(Duration.ZERO);
    }
}
