/**
 * What entries know of streams that have begun, so that a stream that breaks off goes on only at
 * the software version that began it.
 */
package org.boragethread.core.resume;
