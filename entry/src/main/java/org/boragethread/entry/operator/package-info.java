/** HTTP interface for operators. */
package org.boragethread.entry.operator;
