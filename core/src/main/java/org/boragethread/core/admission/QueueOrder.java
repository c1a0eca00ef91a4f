package org.boragethread.core.admission;

/** Order in which a gate admits waiting calls. */
public enum QueueOrder {
    /** Baseline: order of arrival. */
    FIFO,
    /** Priority, then weighted shares of the teams, then earliest deadline. */
    FAIR
}
