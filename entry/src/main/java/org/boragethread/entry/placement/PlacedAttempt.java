package org.boragethread.entry.placement;

import java.time.Duration;
import org.boragethread.core.placement.PlacementFailure;

/**
 * An attempt at an engine whose course the coordinator of the group is told. What is reported after
 * the end has no effect.
 */
public interface PlacedAttempt {

    /** An attempt of which no coordinator is told. */
    PlacedAttempt UNREPORTED =
            new PlacedAttempt() {
                @Override
                public void onFirstEvent(Duration responseTime) {}

                @Override
                public void onPromptProcessed() {}

                @Override
                public void onCompleted() {}

                @Override
                public void onEnded() {}

                @Override
                public void onFailed(PlacementFailure failure) {}

                @Override
                public void onRejected() {}
            };

    /**
     * Called when the first event has arrived.
     *
     * @param responseTime time from sending the request
     */
    void onFirstEvent(Duration responseTime);

    /**
     * Called when the prompt is probably processed, if the response is buffered until it is
     * complete and so has no first event. The engine then counts as free for the next prompt.
     */
    void onPromptProcessed();

    /** Called when the response is complete. */
    void onCompleted();

    /** Called when the attempt was cancelled. */
    void onEnded();

    /** Called when the attempt has failed. */
    void onFailed(PlacementFailure failure);

    /** Called when the request is not sent, because this entry may not use the engine now. */
    void onRejected();
}
