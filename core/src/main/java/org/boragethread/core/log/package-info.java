/**
 * The platform's append-only log and VM list as interfaces, with grouped appends and a follower
 * that reads one stream in order.
 */
package org.boragethread.core.log;
