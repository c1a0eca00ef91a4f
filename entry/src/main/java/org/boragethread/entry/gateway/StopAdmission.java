package org.boragethread.entry.gateway;

import io.vavr.control.Either;
import java.time.Duration;
import org.boragethread.core.upstream.ResponseTimeModel;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.outcome.RefusalReason;
import org.boragethread.model.routing.RequestKind;
import org.boragethread.model.upstream.GroupId;

/**
 * Refuses requests that a stopping process would have to cut off. Their callers reach other entries
 * with a new connection.
 */
final class StopAdmission {

    /** Multiple of the expected time within which most healthy upstreams respond. */
    private static final int RESPONSE_MULTIPLE = 2;

    private final Gateway mGateway;

    StopAdmission(Gateway gateway) {
        mGateway = gateway;
    }

    /**
     * Admits a request if its deadline is in time, or if it probably ends while this process
     * serves. The latter is not enough if it began to arrive late in the stop, nor for a stream
     * that was complete only then: if its upstream falls silent, it is cut off without an answer.
     */
    Either<Refusal, AdmittedRequest> admit(CallerRequest request, AdmittedRequest admitted) {
        if (!mGateway.isStopping()) {
            return Either.right(admitted);
        }
        Duration left = mGateway.timeToServe();
        Duration remaining =
                Duration.ofNanos(admitted.deadlineNanos() - mGateway.time().nanoTime());
        if (remaining.compareTo(left) <= 0) {
            return Either.right(admitted);
        }
        if (isLate(request, admitted)) {
            return refuse("it has %d ms, %d ms remain", remaining, left);
        }
        GroupId group = admitted.route().groupAt(request.unitHash()).group();
        Duration needed = expectedTime(admitted, group);
        if (needed.compareTo(left) <= 0) {
            return Either.right(admitted);
        }
        return refuse("it needs %d ms, %d ms remain", needed, left);
    }

    private boolean isLate(CallerRequest request, AdmittedRequest admitted) {
        boolean isStream = admitted.route().kind() == RequestKind.STREAMING;
        long arrival = isStream ? mGateway.time().nanoTime() : request.begunNanos();
        return mGateway.isAfterLastCalls(arrival);
    }

    private static Either<Refusal, AdmittedRequest> refuse(
            String detail, Duration time, Duration left) {
        return Either.left(
                Refusal.notRun(
                        RefusalReason.NOT_READY,
                        "the process is stopping: "
                                + detail.formatted(time.toMillis(), left.toMillis()),
                        RetryDelays.SHORT));
    }

    private Duration expectedTime(AdmittedRequest admitted, GroupId group) {
        ResponseTimeModel times = mGateway.responseTimes(group);
        return admitted.expectedStageTime(mGateway)
                .plusNanos(admitted.expectedResponseNanos(times) * RESPONSE_MULTIPLE)
                .plus(mGateway.streamDurations(group).bound());
    }
}
