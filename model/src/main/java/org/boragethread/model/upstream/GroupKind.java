package org.boragethread.model.upstream;

/** What the upstreams of a group are. */
public enum GroupKind {
    /** Language-model engines that cache prompt prefixes and stream tokens. */
    ENGINE,
    /** Services that answer one request with one response. */
    PLAIN
}
