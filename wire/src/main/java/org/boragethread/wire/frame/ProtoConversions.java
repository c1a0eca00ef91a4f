package org.boragethread.wire.frame;

import java.time.Duration;
import java.util.Optional;
import org.boragethread.model.outcome.AttemptId;
import org.boragethread.model.outcome.ExecutionStatus;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.team.Priority;
import org.boragethread.model.upstream.UpstreamLoad;
import org.boragethread.wire.proto.Attempt;
import org.boragethread.wire.proto.CallPriority;
import org.boragethread.wire.proto.CallRefused;
import org.boragethread.wire.proto.Load;
import org.boragethread.wire.proto.RanState;

/** Converts model types to and from Protocol Buffers messages. */
public final class ProtoConversions {

    private ProtoConversions() {}

    /** Returns the message for an attempt id. */
    public static Attempt toProto(AttemptId id) {
        return Attempt.newBuilder()
                .setRequestHigh(id.request().high())
                .setRequestLow(id.request().low())
                .setStage(id.stage())
                .setAttempt(id.attempt())
                .build();
    }

    /** Returns the attempt id in a message. */
    public static AttemptId fromProto(Attempt id) {
        RequestId request = new RequestId(id.getRequestHigh(), id.getRequestLow());
        return new AttemptId(request, id.getStage(), id.getAttempt());
    }

    /** Returns the message for a load. */
    public static Load toProto(UpstreamLoad load) {
        return Load.newBuilder()
                .setInFlight(load.inFlight())
                .setLimit(load.limit())
                .setQueued(load.queued())
                .setCold(load.cold())
                .setLeaving(load.draining())
                .build();
    }

    /** Returns the load in a message. */
    public static UpstreamLoad fromProto(Load load) {
        return new UpstreamLoad(
                load.getInFlight(),
                load.getLimit(),
                load.getQueued(),
                load.getCold(),
                load.getLeaving());
    }

    /** Returns the message for a priority. */
    public static CallPriority toProto(Priority priority) {
        return switch (priority) {
            case INTERACTIVE -> CallPriority.INTERACTIVE;
            case NORMAL -> CallPriority.NORMAL;
            case BATCH -> CallPriority.BATCH;
        };
    }

    /**
     * Returns the priority in a message; a value of a later version becomes the lowest priority.
     */
    public static Priority fromProto(CallPriority priority) {
        return switch (priority) {
            case INTERACTIVE -> Priority.INTERACTIVE;
            case NORMAL -> Priority.NORMAL;
            case BATCH, UNRECOGNIZED -> Priority.BATCH;
        };
    }

    /** Returns the message that refuses a call. */
    public static CallRefused toProto(AttemptId id, Refusal refusal, UpstreamLoad load) {
        return CallRefused.newBuilder()
                .setId(toProto(id))
                .setReason(refusal.reason().name())
                .setRan(toProto(refusal.ran()))
                .setDetail(refusal.detail())
                .setRetryAfterMillis(refusal.retryAfter().map(Duration::toMillis).orElse(0L))
                .setLoad(toProto(load))
                .build();
    }

    /** Returns the refusal in a message; an unknown reason becomes {@code UPSTREAM_FAILED}. */
    public static Refusal fromProto(CallRefused refused) {
        long millis = refused.getRetryAfterMillis();
        Optional<Duration> retryAfter =
                millis == 0 ? Optional.empty() : Optional.of(Duration.ofMillis(millis));
        return new Refusal(
                reason(refused.getReason()),
                fromProto(refused.getRan()),
                refused.getDetail(),
                retryAfter);
    }

    private static RefusalReason reason(String name) {
        for (RefusalReason reason : RefusalReason.values()) {
            if (reason.name().equals(name)) {
                return reason;
            }
        }
        return RefusalReason.UPSTREAM_FAILED;
    }

    private static RanState toProto(ExecutionStatus ran) {
        return switch (ran) {
            case NO -> RanState.RAN_NO;
            case UNKNOWN -> RanState.RAN_UNKNOWN;
            case YES -> RanState.RAN_YES;
        };
    }

    private static ExecutionStatus fromProto(RanState ran) {
        return switch (ran) {
            case RAN_NO -> ExecutionStatus.NO;
            case RAN_YES -> ExecutionStatus.YES;
            case RAN_UNKNOWN, UNRECOGNIZED -> ExecutionStatus.UNKNOWN;
        };
    }
}
