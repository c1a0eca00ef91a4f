package org.boragethread.entry.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RequestId;

/** Problem document of RFC 9457 for one refused request. */
@JsonPropertyOrder({"type", "title", "status", "detail", "reason", "ran", "remedy"})
@JsonInclude(JsonInclude.Include.NON_NULL)
public final class Problem {

    /** Media type of the document. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TYPE_PREFIX = "urn:boragethread:problem:";

    private final Refusal mRefusal;
    private final RequestId mRequest;

    /** Describes a refusal of a request. */
    public Problem(Refusal refusal, RequestId request) {
        mRefusal = refusal;
        mRequest = request;
    }

    /** Returns the URN of the reason. */
    public String getType() {
        return TYPE_PREFIX + getReason();
    }

    /** Returns the reason in words. */
    public String getTitle() {
        return getReason().replace('-', ' ');
    }

    /** Returns the HTTP status. */
    public int getStatus() {
        return mRefusal.reason().status();
    }

    /** Returns what happened. */
    public String getDetail() {
        return mRefusal.detail();
    }

    /** Returns the label of the reason. */
    public String getReason() {
        return mRefusal.reason().label();
    }

    /** Returns whether a stage with an effect was run: no, unknown or yes. */
    public String getRan() {
        return mRefusal.ran().name().toLowerCase(Locale.ROOT);
    }

    /** Returns what the caller can do. */
    public String getRemedy() {
        return mRefusal.reason().remedy();
    }

    /** Returns the request's identity. */
    public String getRequestId() {
        return mRequest.toString();
    }

    /** Returns when to try again, in milliseconds, or null if that is not known. */
    public Long getRetryAfterMs() {
        return mRefusal.retryAfter().map(Duration::toMillis).orElse(null);
    }

    /** Returns the value of a Retry-After header, in whole seconds rounded up. */
    Optional<String> retryAfterSeconds() {
        return mRefusal.retryAfter()
                .map(delay -> Long.toString(Math.max(1, (delay.toMillis() + 999) / 1000)));
    }

    /** Returns the document. */
    public byte[] toJson() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a problem document cannot be written", e);
        }
    }
}
