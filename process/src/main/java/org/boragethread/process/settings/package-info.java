/** Reads and validates settings files in TOML. */
package org.boragethread.process.settings;
