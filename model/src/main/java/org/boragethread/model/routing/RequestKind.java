package org.boragethread.model.routing;

/** What may be repeated of a request. */
public enum RequestKind {
    /** Idempotent: may run more than once. */
    SAFE,
    /** Runs at most once for each attempt of the client. */
    UNSAFE,
    /** Answered with a series of events; runs at most once unless the route allows resumption. */
    STREAMING
}
