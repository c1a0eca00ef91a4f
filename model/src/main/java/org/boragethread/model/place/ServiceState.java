package org.boragethread.model.place;

/** Whether operators want a data centre or an upstream to receive work. */
public enum ServiceState {
    /** Receives work. */
    IN,
    /** Receives no new work; running work ends. */
    OUT
}
