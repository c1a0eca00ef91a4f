/** HTTP servers, health checks and metrics. */
package org.boragethread.process.monitor;
