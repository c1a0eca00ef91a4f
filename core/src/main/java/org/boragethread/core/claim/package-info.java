/** Makes work that must not repeat run at most once. */
package org.boragethread.core.claim;
