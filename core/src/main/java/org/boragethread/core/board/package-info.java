/** The blackboard: shared tables that controllers read and write. */
package org.boragethread.core.board;
