package org.boragethread.core.rollout;

/** Side of a comparison of versions. */
public enum VersionSide {
    /** All versions other than the target. */
    OLD,
    TARGET
}
