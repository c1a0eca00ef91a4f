package org.boragethread.core.config;

import java.util.Collection;

/** The upstreams whose capacity is considered when a plan is created. */
public interface CapacityView {

    /** Returns all live upstreams, both in and out of service. */
    Collection<PlacedUpstream> upstreams();
}
