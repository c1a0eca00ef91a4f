/** Which entries live. */
package org.boragethread.core.member;
