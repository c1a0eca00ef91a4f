package org.boragethread.core.configcheck;

/** What is wrong with a part of a configuration. */
public enum FindingKind {
    /** Gateways reject the document, or ignore this part of it. */
    ERROR,
    /** The part never matches, or is never used. */
    UNUSED,
    /** Limits contradict each other. */
    CONTRADICTION
}
