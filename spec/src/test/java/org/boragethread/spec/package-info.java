/** Model checks of the TLA+ specifications of the protocols. */
package org.boragethread.spec;
