/** Subcommands of the entry program. */
package org.boragethread.entry.command;
