/** The agent's side of the connections from entries. */
package org.boragethread.wire.server;
