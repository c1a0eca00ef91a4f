/** What both binaries need as processes: command line, settings, monitoring and logs. */
package org.boragethread.process;
