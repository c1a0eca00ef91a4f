/**
 * Executes the preparatory stages of requests. A stage consists of pieces, the smallest units of
 * work. Upstreams execute pieces in batches, store the results and return a handle for each.
 */
package org.boragethread.core.stage;
