package org.boragethread.standins.upstream;

/** Kind of service that a stand-in simulates. */
public enum UpstreamKind {
    /** Responds with one JSON result. */
    PLAIN,
    /** Streams tokens as server-sent events and caches prompt prefixes. */
    ENGINE,
    /** Responds like a plain service and records each executed order in its ledger. */
    ORDERS
}
