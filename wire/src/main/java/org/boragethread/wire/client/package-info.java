/** The entry's side of the connections to agents. */
package org.boragethread.wire.client;
