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
     * Asks for the right to run a call.
     *
     * @param key hash of team and key
     * @param bodyHash hash of what is to be run
     * @param request the caller's request
     * @param entry the entry that sends the call
     * @param stage index of the stage, from 0
     * @param target the agent that the call goes to
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
     * @param handovers number of handovers that the proof knows of; the record is void if there was
     *     a later one
     * @param proof why the call has not run
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
     * States the answer of a claimed call; the payload is its body.
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
     * Names another agent for a claim whose call the present agent has not run.
     *
     * @param claim offset of the claim
     * @param number number of this handover, from 1
     * @param target the next agent
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
     * States that nobody can tell whether the call ran. A later outcome or release still counts.
     *
     * @param claim offset of the claim
     * @param handovers number of handovers that the writer knows of
     */
    record Unresolved(@JsonProperty("c") long claim, @JsonProperty("n") int handovers)
            implements ClaimRecord {}
}
