package org.boragethread.standins.upstream;

/** What a stand-in does with a call. */
public enum UpstreamKind {
    /** Answers with one JSON result. */
    PLAIN,
    /** Streams tokens as server-sent events and caches prompt prefixes. */
    ENGINE,
    /** Answers like a plain service and records each executed order. */
    ORDERS
}
