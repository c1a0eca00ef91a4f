package org.boragethread.model.routing;

/** Whether a request may be run again. */
public enum RequestKind {
    /** Idempotent: may run more than once. */
    SAFE,
    /** Runs at most once for each attempt of the client. */
    UNSAFE,
    /** Answered with an event stream; runs at most once unless the route allows resumption. */
    STREAMING
}
