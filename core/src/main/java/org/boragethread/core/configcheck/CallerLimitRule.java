package org.boragethread.core.configcheck;

import java.util.ArrayList;
import java.util.List;
import org.boragethread.model.routing.CallerBounds;
import org.boragethread.model.routing.RoutingConfig;

/** Finds limits for callers under which no request arrives. */
final class CallerLimitRule implements ConfigRule {

    @Override
    public List<Finding> check(RoutingConfig config) {
        CallerBounds bounds = config.bounds();
        List<Finding> findings = new ArrayList<>();
        if (bounds.headerBytes() < 1) {
            findings.add(finding(Field.HEADER_BYTES, "no request head is short enough"));
        }
        if (bounds.bodyBytes() < 0) {
            findings.add(finding(Field.BODY_BYTES, "no request body is short enough"));
        }
        if (bounds.headerTimeout().isZero()) {
            findings.add(finding(Field.HEADER_TIMEOUT, "no request head arrives in time"));
        }
        if (bounds.idleTimeout().isZero()) {
            findings.add(finding(Field.IDLE_TIMEOUT, "connections end before their first request"));
        }
        return findings;
    }

    private static Finding finding(Field field, String message) {
        return Finding.contradiction(
                "no-request",
                Place.of(Field.LIMITS).at(field),
                message,
                "use a greater limit, or leave it out for the default");
    }
}
