/** Compares probabilistic causal clocks with log offsets by error rate and bytes per message. */
package org.boragethread.bench.clocks;
