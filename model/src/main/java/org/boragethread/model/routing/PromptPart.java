package org.boragethread.model.routing;

/**
 * One part of a prompt. Requests that begin with the same parts can share an engine's prefix cache.
 *
 * @param id identifier of the part
 * @param tokens length of the part in tokens
 */
public record PromptPart(long id, long tokens) {}
