package org.boragethread.model.outcome;

import java.util.Objects;

/**
 * Identifies one attempt at one stage of a request. A result is delivered only to the attempt that
 * it names.
 *
 * @param request the caller's request
 * @param stage index of the stage, from 0
 * @param attempt number of the attempt at this stage, from 0
 */
public record AttemptId(RequestId request, int stage, int attempt) {

    public AttemptId {
        Objects.requireNonNull(request, "request");
    }

    @Override
    public String toString() {
        return request + "/" + stage + "/" + attempt;
    }
}
