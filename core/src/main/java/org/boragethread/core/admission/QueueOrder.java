package org.boragethread.core.admission;

/** Order in which queued calls are admitted. */
public enum QueueOrder {
    /** Baseline for comparison: by arrival. */
    FIFO,
    /** By priority, then by weighted fair queuing among teams, then by earliest deadline. */
    FAIR
}
