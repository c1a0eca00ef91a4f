/** The operators' HTTP interface. */
package org.boragethread.entry.operator;
