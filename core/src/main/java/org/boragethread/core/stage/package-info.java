/** Makes the pieces of stages in batches, before the requests that need them run. */
package org.boragethread.core.stage;
