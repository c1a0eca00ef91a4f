/**
 * The embeddable coordination library. It opens no sockets, starts no threads of its own and takes
 * all time from a {@link org.boragethread.core.time.TimeSource}.
 */
package org.boragethread.core;
