/** A demonstration of the whole path on one machine. */
package org.boragethread.bench.demo;
