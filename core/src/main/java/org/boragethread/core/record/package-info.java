/** Typed records on the platform's log: their encoding, writing and confirmation. */
package org.boragethread.core.record;
