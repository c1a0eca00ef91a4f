package org.boragethread.core.stage;

import org.boragethread.model.upstream.UpstreamId;

/**
 * Where the result of a piece is stored.
 *
 * @param handle identifies the result at its upstream
 * @param upstream the upstream that executed the piece and stores the result
 */
public record ResultLocation(String handle, UpstreamId upstream) {}
