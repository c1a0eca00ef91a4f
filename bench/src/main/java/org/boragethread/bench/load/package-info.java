/** Load tests of scenarios with faults, which compare the policies with the baselines. */
package org.boragethread.bench.load;
