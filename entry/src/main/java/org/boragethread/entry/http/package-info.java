/** HTTP API for callers. */
package org.boragethread.entry.http;
