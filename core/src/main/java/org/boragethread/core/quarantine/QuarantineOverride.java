package org.boragethread.core.quarantine;

/** An operator's decision on a suspect, which goes before all evidence. */
public enum QuarantineOverride {
    /** The suspect is sent to no upstream. */
    BLOCK,
    /** The suspect is sent to upstreams, whatever crashed under it. */
    ALLOW
}
