/** The entry's side of a connection to an agent. */
package org.boragethread.wire.client;
