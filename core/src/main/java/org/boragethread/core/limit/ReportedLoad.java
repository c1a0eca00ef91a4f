package org.boragethread.core.limit;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Load that an upstream reports with a response.
 *
 * @param inFlight calls that the upstream was processing
 * @param limit maximum number of concurrent calls that the upstream accepted
 * @param age time since the upstream measured the load
 */
public record ReportedLoad(int inFlight, int limit, Duration age) {

    private static final Pattern HEADER_PATTERN =
            Pattern.compile("in-flight=(\\d{1,9}); *limit=(\\d{1,9}); *age-ms=(\\d{1,9})");

    public ReportedLoad {
        Objects.requireNonNull(age, "age");
    }

    /** Parses the value of an {@code Upstream-Load} header; returns empty if it is malformed. */
    public static Optional<ReportedLoad> parse(String header) {
        Matcher matcher = HEADER_PATTERN.matcher(header.strip());
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(
                new ReportedLoad(
                        Integer.parseInt(matcher.group(1)),
                        Integer.parseInt(matcher.group(2)),
                        Duration.ofMillis(Long.parseLong(matcher.group(3)))));
    }
}
