/** Measures what the way through entry and agent adds to calling the stand-ins directly. */
package org.boragethread.bench.path;
