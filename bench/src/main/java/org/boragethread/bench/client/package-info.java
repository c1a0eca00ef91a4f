/** Open-loop and closed-loop load, and callers that note when each part of an answer came. */
package org.boragethread.bench.client;
