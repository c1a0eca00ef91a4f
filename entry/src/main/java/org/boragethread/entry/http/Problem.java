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

/** RFC 9457 problem document for one refused request. */
@JsonPropertyOrder({"type", "title", "status", "detail", "reason", "ran", "remedy"})
@JsonInclude(JsonInclude.Include.NON_NULL)
public final class Problem {

    /** Media type of problem documents. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TYPE_PREFIX = "urn:boragethread:problem:";

    private final Refusal mRefusal;
    private final RequestId mRequest;

    /** Creates the problem document of a refused request. */
    public Problem(Refusal refusal, RequestId request) {
        mRefusal = refusal;
        mRequest = request;
    }

    /** Returns the URN that identifies the problem type. */
    public String getType() {
        return TYPE_PREFIX + getReason();
    }

    /** Returns the reason as human-readable text. */
    public String getTitle() {
        return getReason().replace('-', ' ');
    }

    /** Returns the HTTP status. */
    public int getStatus() {
        return mRefusal.reason().status();
    }

    /** Returns what happened in this case. */
    public String getDetail() {
        return mRefusal.detail();
    }

    /** Returns the label of the reason. */
    public String getReason() {
        return mRefusal.reason().label();
    }

    /** Returns whether a stage with an effect ran: no, unknown or yes. */
    public String getRan() {
        return mRefusal.ran().name().toLowerCase(Locale.ROOT);
    }

    /** Returns what the caller can do about it. */
    public String getRemedy() {
        return mRefusal.reason().remedy();
    }

    /** Returns the identifier of the request. */
    public String getRequestId() {
        return mRequest.toString();
    }

    /** Returns the delay before a retry, in milliseconds, or null if it is not known. */
    public Long getRetryAfterMs() {
        return mRefusal.retryAfter().map(Duration::toMillis).orElse(null);
    }

    /** Returns the value of the Retry-After header, in seconds, rounded up. */
    Optional<String> retryAfterSeconds() {
        return mRefusal.retryAfter()
                .map(delay -> Long.toString(Math.max(1, (delay.toMillis() + 999) / 1000)));
    }

    /** Returns the document as JSON. */
    public byte[] toJson() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("JSON encoding of a problem document failed", e);
        }
    }
}
