/** Model checks of the specifications of the project's protocols. */
package org.boragethread.spec;
