package org.boragethread.model.routing;

import java.util.OptionalInt;

/**
 * The team that holds an API key.
 *
 * @param team name of the team
 * @param priority priority of its requests, which overrides that of the route; 0 is the most urgent
 */
public record KeyHolder(String team, OptionalInt priority) {}
