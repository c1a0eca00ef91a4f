package org.boragethread.core.config;

import java.util.Collection;

/** What is known of the upstreams when a plan is made. */
public interface CapacityView {

    /** Returns the live upstreams, in or out of service. */
    Collection<PlacedUpstream> upstreams();
}
