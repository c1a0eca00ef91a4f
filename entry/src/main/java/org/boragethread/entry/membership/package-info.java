/** Connections to the agents of the VMs listed by the platform. */
package org.boragethread.entry.membership;
