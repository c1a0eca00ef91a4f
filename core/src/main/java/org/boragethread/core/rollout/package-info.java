/** Roll-outs of software versions: who gets a new version, its verdict and its one outcome. */
package org.boragethread.core.rollout;
