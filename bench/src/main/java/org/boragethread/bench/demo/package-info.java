/** Demonstration of a complete deployment on one machine. */
package org.boragethread.bench.demo;
