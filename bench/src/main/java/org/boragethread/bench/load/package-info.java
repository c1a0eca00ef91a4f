/**
 * Measures decisions under load and faults: scenarios, each with the policies and the baselines.
 */
package org.boragethread.bench.load;
