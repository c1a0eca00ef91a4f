package org.boragethread.core.callback;

/**
 * Creates activities whose failures are reported under one name.
 *
 * @param guard runs all callbacks
 * @param report told of each callback that threw
 */
public record Supervisor(CallbackGuard guard, CallbackGuard.Owner report) {

    /**
     * Creates an activity.
     *
     * @param restart starts the activity again after one of its callbacks threw
     */
    public Activity supervise(Runnable restart) {
        return new Activity(guard, report, restart);
    }

    /** Runs a callback; if it throws, the failure is reported before it is handled. */
    public void run(Runnable callback, Runnable onFailed) {
        guard.run(
                cause -> {
                    try {
                        report.onCallbackFailed(cause);
                    } finally {
                        onFailed.run();
                    }
                },
                callback);
    }
}
