/**
 * Finds parts of prompts and requests that crash upstreams, from what all processes report about
 * crashes, and keeps them from further upstreams.
 */
package org.boragethread.core.quarantine;
