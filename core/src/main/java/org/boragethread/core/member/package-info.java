/** Group membership: which entries are alive. */
package org.boragethread.core.member;
