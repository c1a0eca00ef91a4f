/** Claims, which grant the right to run a non-idempotent stage at most once. */
package org.boragethread.model.claim;
