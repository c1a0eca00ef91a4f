/** Netty connections with protobuf messages between entries and agents. */
package org.boragethread.wire;
