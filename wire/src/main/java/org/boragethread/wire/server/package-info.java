/** The agent's side of connections from entries. */
package org.boragethread.wire.server;
