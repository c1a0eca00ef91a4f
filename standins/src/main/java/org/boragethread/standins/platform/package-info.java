/** Stand-in for the platform's append-only log and its list of VMs. */
package org.boragethread.standins.platform;
