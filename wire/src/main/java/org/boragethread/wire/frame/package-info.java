/**
 * Framing, handshake proofs, configuration exchange, and conversions between Protocol Buffers
 * messages and model types.
 */
package org.boragethread.wire.frame;
