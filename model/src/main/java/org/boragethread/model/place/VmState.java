package org.boragethread.model.place;

/** State of a VM in the platform's list. */
public enum VmState {
    /** Running and accepting new work. */
    LIVE,
    /** Will be stopped soon and must receive no new work. */
    LEAVING
}
