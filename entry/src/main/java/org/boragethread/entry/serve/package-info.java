/** Puts the parts of an entry together. */
package org.boragethread.entry.serve;
