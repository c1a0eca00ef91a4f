package org.boragethread.core.rollout;

import java.util.Optional;
import java.util.Set;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.model.upstream.UpstreamId;

/** Which upstreams of a group a request may be sent to now. */
public interface VersionRule {

    /** Allows every upstream. */
    VersionRule ANY = (upstream, version) -> true;

    /** Allows no upstream; the request is refused with 503, not run. */
    VersionRule NONE = (upstream, version) -> false;

    /**
     * Returns whether the request may be sent to an upstream.
     *
     * @param version version of the upstream; empty if it is not known now
     */
    boolean allows(UpstreamId upstream, Optional<SoftwareVersion> version);

    /** Returns whether the request is a trial: it goes to the target version if possible. */
    default boolean isTrial() {
        return false;
    }

    /** Returns whether no upstream is allowed, whatever its version. */
    default boolean isRefused() {
        return this == NONE;
    }

    /** Returns the rule of a trial. */
    static VersionRule trial(SoftwareVersion target, Set<UpstreamId> upstreams) {
        return new VersionRule() {
            @Override
            public boolean allows(UpstreamId upstream, Optional<SoftwareVersion> version) {
                return version.filter(target::equals).isPresent() && upstreams.contains(upstream);
            }

            @Override
            public boolean isTrial() {
                return true;
            }
        };
    }
}
