package org.boragethread.entry.gateway;

import sun.misc.Signal;

/** Runs a task on SIGHUP, the signal to reload the settings. */
final class ReloadSignal {

    private static final String SIGNAL_NAME = "HUP";

    private ReloadSignal() {}

    /** Installs the handler. Without one, SIGHUP would terminate the process. */
    static void listen(Runnable task) {
        Signal.handle(new Signal(SIGNAL_NAME), signal -> task.run());
    }
}
