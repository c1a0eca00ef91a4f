package org.boragethread.standins.system;

/** What a soak run has beside its usual disturbances. */
enum SoakOption {
    /** Engines start again with other software. */
    ENGINE_RESTARTS,
    /** Gateways place requests and schedule stages together. */
    SHARED_SCHEDULING
}
