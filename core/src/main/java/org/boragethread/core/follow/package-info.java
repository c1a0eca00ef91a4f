/**
 * Reads compacted topics, of which the store keeps the newest record of each key, and tracks how
 * current the data is.
 */
package org.boragethread.core.follow;
