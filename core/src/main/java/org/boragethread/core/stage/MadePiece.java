package org.boragethread.core.stage;

import org.boragethread.model.upstream.UpstreamId;

/**
 * A result that lies at the upstream that made it.
 *
 * @param handle where it lies
 * @param maker the upstream that holds it
 */
public record MadePiece(String handle, UpstreamId maker) {}
