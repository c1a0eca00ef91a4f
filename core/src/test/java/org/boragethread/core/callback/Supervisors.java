package org.boragethread.core.callback;

import java.util.function.Consumer;

/** Supervisors for tests. */
public final class Supervisors {

    private Supervisors() {}

    /** Returns a supervisor for tests in which nothing throws; what throws ends the test. */
    public static Supervisor rethrowing() {
        return reporting(
                cause -> {
                    throw new AssertionError("a callback threw", cause);
                });
    }

    /** Returns a supervisor that reports what was thrown. */
    public static Supervisor reporting(Consumer<Throwable> report) {
        return new Supervisor(new CallbackGuard(report::accept), report::accept);
    }
}
