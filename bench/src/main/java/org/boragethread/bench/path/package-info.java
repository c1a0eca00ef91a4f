/** Measures the overhead of entry and agent over direct calls to the stand-ins. */
package org.boragethread.bench.path;
