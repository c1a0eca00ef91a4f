package org.boragethread.entry.gateway;

import sun.misc.Signal;

/** Runs a task when the process is told that its settings have changed. */
final class ReloadSignal {

    private static final String NAME = "HUP";

    private ReloadSignal() {}

    /** Without a listener the signal would end the process. */
    static void listen(Runnable task) {
        Signal.handle(new Signal(NAME), signal -> task.run());
    }
}
