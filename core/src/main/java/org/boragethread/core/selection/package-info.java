/** Upstream selection: chooses which upstream receives a call. */
package org.boragethread.core.selection;
