/** Request identity, results and refusals. */
package org.boragethread.model.outcome;
