/** Upstreams, their groups and the load they report. */
package org.boragethread.model.upstream;
