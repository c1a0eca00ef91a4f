/** Typed records in the platform's log: encoding, appending, confirmation and replay. */
package org.boragethread.core.record;
