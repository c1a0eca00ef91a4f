package org.boragethread.core.quarantine;

/** An operator's decision on a part, which goes before all evidence. */
public enum QuarantineOverride {
    /** The part is sent to no upstream. */
    BLOCK,
    /** The part is sent to upstreams, whatever crashed under it. */
    ALLOW
}
