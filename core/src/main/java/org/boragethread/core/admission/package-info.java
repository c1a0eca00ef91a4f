/** Decides which calls an agent lets through to its upstream. */
package org.boragethread.core.admission;
