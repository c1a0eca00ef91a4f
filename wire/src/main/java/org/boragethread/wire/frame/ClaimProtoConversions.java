package org.boragethread.wire.frame;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.boragethread.core.claim.ClaimAnswer;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;

/** Converts claims and answers to claim queries to and from Protocol Buffers messages. */
public final class ClaimProtoConversions {

    private ClaimProtoConversions() {}

    /** Returns the message for a claim that names the given incarnation of an agent. */
    public static org.boragethread.wire.proto.ClaimRef toProto(ClaimRef claim, long incarnation) {
        return org.boragethread.wire.proto.ClaimRef.newBuilder()
                .setPartition(claim.partition())
                .setOffset(claim.offset())
                .setIncarnation(incarnation)
                .build();
    }

    /** Returns the claim in a message. */
    public static ClaimRef fromProto(org.boragethread.wire.proto.ClaimRef claim) {
        return new ClaimRef(claim.getPartition(), claim.getOffset());
    }

    /** Returns the message for the answer to the query with the given number. */
    public static org.boragethread.wire.proto.ClaimAnswer toProto(long query, ClaimAnswer answer) {
        org.boragethread.wire.proto.ClaimAnswer.Builder message =
                org.boragethread.wire.proto.ClaimAnswer.newBuilder()
                        .setQuery(query)
                        .setState(toProto(answer.state()));
        answer.outcome().ifPresent(outcome -> addOutcome(message, outcome));
        return message.build();
    }

    private static void addOutcome(
            org.boragethread.wire.proto.ClaimAnswer.Builder message, ClaimOutcome outcome) {
        message.setStatus(outcome.status());
        message.setContentType(outcome.contentType());
        message.setBodyOmitted(outcome.body().isEmpty());
        outcome.body().ifPresent(body -> message.setBody(ByteString.copyFrom(body)));
    }

    /** Returns the answer in a message; a state of a later protocol version becomes UNKNOWN. */
    public static ClaimAnswer fromProto(org.boragethread.wire.proto.ClaimAnswer message) {
        return switch (message.getState()) {
            case NEVER_SEEN -> ClaimAnswer.of(ClaimAnswer.State.NEVER_SEEN);
            case RUNNING -> ClaimAnswer.of(ClaimAnswer.State.RUNNING);
            case DONE -> ClaimAnswer.done(outcome(message));
            case NOT_RUN -> ClaimAnswer.of(ClaimAnswer.State.NOT_RUN);
            case UNKNOWN, UNRECOGNIZED -> ClaimAnswer.of(ClaimAnswer.State.UNKNOWN);
        };
    }

    private static ClaimOutcome outcome(org.boragethread.wire.proto.ClaimAnswer message) {
        Optional<byte[]> body =
                message.getBodyOmitted()
                        ? Optional.empty()
                        : Optional.of(message.getBody().toByteArray());
        return new ClaimOutcome(message.getStatus(), message.getContentType(), body);
    }

    private static org.boragethread.wire.proto.ClaimAnswer.State toProto(ClaimAnswer.State state) {
        return org.boragethread.wire.proto.ClaimAnswer.State.valueOf(state.name());
    }
}
