/** The configuration that all processes share. */
package org.boragethread.model.config;
