package org.boragethread.process.monitor;

import java.util.Optional;

/** Tells whether a process takes work. */
public interface Readiness {

    /** Returns why the process does not take work now, or empty if it does. */
    Optional<String> obstacle();
}
