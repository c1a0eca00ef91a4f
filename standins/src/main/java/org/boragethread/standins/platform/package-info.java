/** Stand-in for the platform's append-only log and VM list. */
package org.boragethread.standins.platform;
