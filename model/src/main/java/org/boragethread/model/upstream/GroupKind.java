package org.boragethread.model.upstream;

/** Kind of the upstreams of a group. */
public enum GroupKind {
    /** Language-model engines that cache prompt prefixes and stream tokens. */
    ENGINE,
    /** Services that answer one request with one response. */
    PLAIN
}
