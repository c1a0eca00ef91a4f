/** The command line and its sub-commands. */
package org.boragethread.process.command;
