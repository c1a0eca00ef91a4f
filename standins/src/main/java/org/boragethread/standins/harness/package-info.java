/** Starts the system's processes and the stand-ins, for system tests and measurements. */
package org.boragethread.standins.harness;
