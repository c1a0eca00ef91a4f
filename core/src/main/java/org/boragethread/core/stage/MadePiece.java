package org.boragethread.core.stage;

import org.boragethread.model.upstream.UpstreamId;

/**
 * Where the result of a piece is stored.
 *
 * @param handle identifies the result at its upstream
 * @param maker the upstream that executed the piece and stores the result
 */
public record MadePiece(String handle, UpstreamId maker) {}
