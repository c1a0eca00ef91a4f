package org.boragethread.core.placement;

/**
 * Identifies one attempt to place a request. A message with the same key is a repetition.
 *
 * @param entry run of the entry that asks, so that a restarted entry has other keys
 * @param request identifier of the request
 * @param attempt number of the attempt; each further placement of a request has another one
 */
public record PlacementKey(String entry, String request, long attempt) {}
