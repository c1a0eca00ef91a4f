/** Carries out roll-outs of software versions in a gateway process. */
package org.boragethread.entry.rollout;
