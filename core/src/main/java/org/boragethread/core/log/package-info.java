/**
 * Interfaces to the platform's append-only log and VM list, an appender that batches writes, and a
 * follower that reads one stream in order.
 */
package org.boragethread.core.log;
