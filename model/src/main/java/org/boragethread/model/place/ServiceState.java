package org.boragethread.model.place;

/** Service state of a data centre or an upstream, as set by operators. */
public enum ServiceState {
    /** In service: receives new work. */
    IN,
    /** Out of service: receives no new work; running work is finished. */
    OUT
}
