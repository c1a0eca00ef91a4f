/** Admission control: decides which calls an agent sends to its upstream, and in which order. */
package org.boragethread.core.admission;
