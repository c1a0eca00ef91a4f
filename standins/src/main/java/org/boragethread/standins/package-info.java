/**
 * Small stand-ins for the platform and for upstreams, and a fault-injecting proxy. They serve
 * tests, measurements and the demonstration only.
 */
package org.boragethread.standins;
