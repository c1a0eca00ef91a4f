/** The load and measurement tool. */
package org.boragethread.bench;
