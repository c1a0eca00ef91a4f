/** The callers' HTTP interface. */
package org.boragethread.entry.http;
