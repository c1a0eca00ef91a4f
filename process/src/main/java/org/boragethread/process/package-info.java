/** Infrastructure shared by the programs: command line, settings, monitoring and logs. */
package org.boragethread.process;
