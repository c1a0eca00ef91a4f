package org.boragethread.core.callback;

import java.util.function.Consumer;

/**
 * Callbacks of something that a process does as long as it runs, for example following a topic. If
 * one of them throws, the failure is reported and the activity starts again; callbacks that were
 * bound before no longer run, so that it does not go on twice. Confined to one thread.
 */
public final class Activity implements CallbackGuard.Owner {

    private final CallbackGuard mGuard;
    private final CallbackGuard.Owner mReport;
    private final Runnable mRestart;
    private long mGeneration;

    /**
     * Creates an activity.
     *
     * @param report told of each callback that threw
     * @param restart starts the activity again, or schedules that with a callback bound here
     */
    public Activity(CallbackGuard guard, CallbackGuard.Owner report, Runnable restart) {
        mGuard = guard;
        mReport = report;
        mRestart = restart;
    }

    /** Runs a step of the activity now. */
    public void run(Runnable step) {
        mGuard.run(this, step);
    }

    /** Returns a task that runs a step, unless the activity was restarted meanwhile. */
    public Runnable bind(Runnable step) {
        Consumer<Void> bound = bind(ignored -> step.run());
        return () -> bound.accept(null);
    }

    /** Returns a receiver that runs a step, unless the activity was restarted meanwhile. */
    public <T> Consumer<T> bind(Consumer<T> step) {
        long generation = mGeneration;
        return value -> {
            if (generation == mGeneration) {
                run(() -> step.accept(value));
            }
        };
    }

    @Override
    public void onCallbackFailed(Throwable cause) {
        mGeneration++;
        try {
            mReport.onCallbackFailed(cause);
        } finally {
            mRestart.run();
        }
    }
}
