/** Decides which upstream receives a call. */
package org.boragethread.core.selection;
