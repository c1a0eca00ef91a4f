/** Health and metrics over HTTP. */
package org.boragethread.process.monitor;
