/** Immutable value types shared by all modules. They perform no I/O. */
package org.boragethread.model;
