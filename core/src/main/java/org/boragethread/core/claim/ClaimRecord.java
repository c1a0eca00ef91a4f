package org.boragethread.core.claim;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Objects;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.outcome.RequestId;
import org.boragethread.model.place.EntryId;

/** A record of a claim stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ClaimRecord.Claim.class, name = "c"),
    @JsonSubTypes.Type(value = ClaimRecord.Release.class, name = "r"),
    @JsonSubTypes.Type(value = ClaimRecord.Outcome.class, name = "o"),
    @JsonSubTypes.Type(value = ClaimRecord.Handover.class, name = "h"),
    @JsonSubTypes.Type(value = ClaimRecord.Unresolved.class, name = "u")
})
public sealed interface ClaimRecord {

    /**
     * Requests the exclusive right to run a call.
     *
     * @param key hash of the team and its idempotency key
     * @param bodyHash hash of the request to run
     * @param request the caller's request
     * @param entry the entry that sends the call if the claim wins
     * @param stage index of the stage, from 0
     * @param target the agent that the call is sent to
     */
    record Claim(
            @JsonProperty("k") KeyHash key,
            @JsonProperty("b") long bodyHash,
            @JsonProperty("q") RequestId request,
            @JsonProperty("e") EntryId entry,
            @JsonProperty("s") int stage,
            @JsonProperty("a") ClaimTarget target)
            implements ClaimRecord {

        public Claim {
            Objects.requireNonNull(key, "key");
            Objects.requireNonNull(request, "request");
            Objects.requireNonNull(entry, "entry");
            Objects.requireNonNull(target, "target");
        }
    }

    /**
     * Ends a claim whose call has not run.
     *
     * @param claim offset of the claim
     * @param handovers number of handovers known to the writer; the record is ignored if there has
     *     been a later one
     * @param proof why it is certain that the call has not run
     */
    record Release(
            @JsonProperty("c") long claim,
            @JsonProperty("n") int handovers,
            @JsonProperty("p") ReleaseProof proof)
            implements ClaimRecord {

        public Release {
            Objects.requireNonNull(proof, "proof");
        }
    }

    /**
     * Records the result of a claimed call; the payload of the record is the response body.
     *
     * @param claim offset of the claim
     * @param status HTTP status
     * @param contentType media type of the body
     * @param bodyOmitted whether the body was too large to keep
     */
    record Outcome(
            @JsonProperty("c") long claim,
            @JsonProperty("s") int status,
            @JsonProperty("m") String contentType,
            @JsonProperty("x") boolean bodyOmitted)
            implements ClaimRecord {

        public Outcome {
            contentType = contentType == null ? "" : contentType;
        }
    }

    /**
     * Reassigns a claim to another agent after its current agent has proved that it did not run the
     * call.
     *
     * @param claim offset of the claim
     * @param number sequence number of this handover within the claim, from 1
     * @param target the new agent
     */
    record Handover(
            @JsonProperty("c") long claim,
            @JsonProperty("n") int number,
            @JsonProperty("a") ClaimTarget target)
            implements ClaimRecord {

        public Handover {
            Objects.requireNonNull(target, "target");
        }
    }

    /**
     * Records that it cannot be determined whether the call ran. A later outcome or release still
     * takes effect.
     *
     * @param claim offset of the claim
     * @param handovers number of handovers known to the writer; the record is ignored if there has
     *     been a later one
     */
    record Unresolved(@JsonProperty("c") long claim, @JsonProperty("n") int handovers)
            implements ClaimRecord {}
}
