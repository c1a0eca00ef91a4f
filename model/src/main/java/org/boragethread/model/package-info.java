/** Immutable types that every module shares. They perform no I/O. */
package org.boragethread.model;
