/** Assembles and runs an entry process. */
package org.boragethread.entry.serve;
