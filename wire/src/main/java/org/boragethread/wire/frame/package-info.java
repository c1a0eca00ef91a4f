/** Framing, handshake proofs and conversions between messages and model types. */
package org.boragethread.wire.frame;
