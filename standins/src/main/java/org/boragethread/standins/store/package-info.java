/**
 * Stand-ins for the platform's store, with keyed topics and consumer groups, and for upstreams that
 * announce themselves there.
 */
package org.boragethread.standins.store;
