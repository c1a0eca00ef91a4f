/** Command-line parsing and the base classes of sub-commands. */
package org.boragethread.process.command;
