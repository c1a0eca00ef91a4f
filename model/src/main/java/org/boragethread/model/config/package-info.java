/** The configuration that all processes agree on. */
package org.boragethread.model.config;
