/** Settings of an entry. */
package org.boragethread.entry.settings;
