/** Reads and checks settings files in TOML. */
package org.boragethread.process.settings;
