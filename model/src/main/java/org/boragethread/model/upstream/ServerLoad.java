package org.boragethread.model.upstream;

import java.util.OptionalInt;

/**
 * The load that an upstream reports in a response.
 *
 * @param running requests that it executes
 * @param queued requests that wait there
 * @param slots requests that it can execute at a time
 * @param timePercent how long work takes there at this moment, 100 as usual; empty if not reported
 */
public record ServerLoad(int running, int queued, int slots, OptionalInt timePercent) {}
