/** Command-line tool for load tests and measurements. */
package org.boragethread.bench;
