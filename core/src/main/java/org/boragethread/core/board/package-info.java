/** Shared tables that controllers read and write (blackboard pattern); has no classes yet. */
package org.boragethread.core.board;
