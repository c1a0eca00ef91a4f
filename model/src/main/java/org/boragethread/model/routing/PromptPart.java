package org.boragethread.model.routing;

/**
 * One part of a prompt. Requests that begin with the same parts can share what an engine has read.
 *
 * @param id identity of the part
 * @param tokens its length in tokens
 */
public record PromptPart(long id, long tokens) {}
