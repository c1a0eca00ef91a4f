/**
 * The platform's store with keyed topics and groups, and upstreams that announce themselves there.
 */
package org.boragethread.standins.store;
