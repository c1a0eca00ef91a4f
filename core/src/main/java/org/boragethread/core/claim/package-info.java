/** At-most-once execution of non-idempotent calls through claims on idempotency keys. */
package org.boragethread.core.claim;
