/** Connections to the agents of the VMs that the platform lists. */
package org.boragethread.entry.membership;
