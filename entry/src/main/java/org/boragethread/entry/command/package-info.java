/** The sub-commands of the entry. */
package org.boragethread.entry.command;
