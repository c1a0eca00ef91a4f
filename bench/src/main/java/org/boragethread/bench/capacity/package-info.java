/** Measures how control costs grow with the size of the system. */
package org.boragethread.bench.capacity;
