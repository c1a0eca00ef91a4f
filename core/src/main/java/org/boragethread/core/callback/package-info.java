/** Callbacks that act for a request or for the process, and what happens when one throws. */
package org.boragethread.core.callback;
