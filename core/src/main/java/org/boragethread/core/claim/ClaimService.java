package org.boragethread.core.claim;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.boragethread.core.record.ConfirmedWriter;
import org.boragethread.core.record.RecordSink;
import org.boragethread.core.record.RecordSource;
import org.boragethread.core.record.RecordStateMachine;
import org.boragethread.core.record.RetryingWriter;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.place.EntryId;

/**
 * Claims idempotency keys for one entry: obtains the right to run a call, or finds the outcome of
 * an earlier call with the same key. Thread-safe; completes futures without holding locks.
 *
 * <p>A caller that receives {@link ClaimDecision.Run} must do one of the following:
 *
 * <ul>
 *   <li>send the call once, over a connection to exactly the agent incarnation that the claim
 *       names, and then report {@link #outcome}, {@link #unresolved}, or {@link #release} if the
 *       agent proves that the call did not run;
 *   <li>{@link #release} the claim as {@link ReleaseProof#HOLDER_NEVER_SENT};
 *   <li>after proof that the current agent has not run the call, {@link #handover} the claim, and
 *       send the call to the new agent only after the handover has succeeded.
 * </ul>
 */
public final class ClaimService {

    private final EntryId mEntry;
    private final ClaimSettings mSettings;
    private final ClaimTable mTable;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final EntryLiveness mLiveness;
    private final ClaimEvents mEvents;
    private final ConfirmedWriter<ClaimApplyResult> mConfirmedWriter;
    private final ClaimWriter mWriter;
    private final RetryingWriter mPersistentWriter;
    private final OutcomeCache mOutcomes;
    private final ClaimRecovery mRecovery;
    private final KeyListeners mListeners = new KeyListeners();

    private ClaimService(Builder builder) {
        mEntry = Objects.requireNonNull(builder.mEntry, "entry");
        mSettings = Objects.requireNonNull(builder.mSettings, "settings");
        mTable = builder.mTable == null ? new ClaimTable(mSettings) : builder.mTable;
        mScheduler = Objects.requireNonNull(builder.mScheduler, "scheduler");
        mTime = Objects.requireNonNull(builder.mTime, "time");
        mLiveness = Objects.requireNonNull(builder.mLiveness, "liveness");
        mEvents = Objects.requireNonNull(builder.mEvents, "events");
        mConfirmedWriter = new ConfirmedWriter<>(builder.mSink, mScheduler, builder.mIds);
        mPersistentWriter =
                new RetryingWriter(builder.mSink, mScheduler, mSettings.maxUnsaved(), builder.mIds);
        mWriter = new ClaimWriter(mPersistentWriter, mSettings.maxOutcomeBytes());
        mOutcomes = new OutcomeCache(builder.mSource, mSettings.cacheBytes());
        mRecovery = new ClaimRecovery(builder.mAgents, mWriter, mOutcomes);
    }

    /** Returns a builder; all collaborators without a default must be set. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Claims the key of a request. While another claim for the key is open, waits for its outcome.
     *
     * @param target the agent that the call will be sent to
     * @param remaining time until the caller's deadline
     * @return the decision, or a refusal with one of the reasons {@code LOG_UNAVAILABLE}, {@code
     *     KEY_REUSED}, {@code KEY_IN_PROGRESS} and {@code KEY_OUTCOME_UNKNOWN}; never completes
     *     exceptionally
     */
    public CompletableFuture<Either<Refusal, ClaimDecision>> claim(
            ClaimRequest request, ClaimTarget target, Duration remaining) {
        CompletableFuture<Either<Refusal, ClaimDecision>> decision =
                new ClaimAttempt(this, request, target, remaining).start();
        decision.thenAccept(mEvents::decided);
        return decision;
    }

    /**
     * Reassigns a held claim to another agent, after proof that the current agent has not run the
     * call.
     *
     * @return true once the handover has taken effect; false if the claim is released instead and
     *     the call must not be sent any more
     */
    public CompletableFuture<Boolean> handover(
            ClaimRef ref, ClaimTarget target, Duration remaining) {
        int handovers = handovers(ref);
        byte[] data =
                ClaimTable.CODEC.encode(
                        new ClaimRecord.Handover(ref.offset(), handovers + 1, target));
        return mConfirmedWriter
                .write(ClaimSettings.streamName(ref.partition()), data, remaining)
                .thenApply(result -> isInForce(ref, handovers, result));
    }

    private boolean isInForce(
            ClaimRef ref, int handovers, Either<Refusal, ClaimApplyResult> result) {
        if (result.isRight() && result.get() instanceof ClaimApplyResult.Changed) {
            return true;
        }
        mWriter.release(ref, handovers, ReleaseProof.AGENT_NOT_RUN);
        return false;
    }

    /** Records the complete result of a claimed call. Does not wait for the log. */
    public void outcome(ClaimRef ref, ClaimOutcome outcome) {
        mOutcomes.put(ref, outcome);
        mWriter.outcome(ref, outcome);
        mTable.findOpen(ref).ifPresent(claim -> mListeners.fire(claim.key()));
    }

    /** Records that a claimed call has not run and will not run. Does not wait for the log. */
    public void release(ClaimRef ref, ReleaseProof proof) {
        mWriter.release(ref, handovers(ref), proof);
    }

    /** Records that it is unknown whether a claimed call ran. Does not wait for the log. */
    public void unresolved(ClaimRef ref) {
        mWriter.unresolved(ref, handovers(ref));
    }

    /**
     * Settles a claim of this entry after the response to its call was lost. The agent fences the
     * claim unless the call has begun, so the call must not be sent again under this claim.
     *
     * @return the agent's answer, or empty if the agent cannot be reached or the claim is already
     *     settled; in the latter case {@link #claim} finds the outcome
     */
    public CompletableFuture<Optional<ClaimAnswer>> resolve(ClaimRef ref) {
        return mTable.findOpen(ref)
                .map(claim -> mRecovery.recover(claim, true))
                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
    }

    private int handovers(ClaimRef ref) {
        return mTable.findOpen(ref)
                .flatMap(ClaimView::assignment)
                .map(ClaimView.Assignment::handovers)
                .orElse(0);
    }

    /**
     * Applies the next record of a claim stream. Records of one partition must be applied in order.
     *
     * @param timeMillis the record's log time, in milliseconds since the Unix epoch
     */
    public void apply(int partition, long offset, long timeMillis, String recordId, byte[] data) {
        ClaimApplyResult result = mTable.apply(partition, offset, timeMillis, recordId, data);
        ConfirmedWriter.Owner owner = mConfirmedWriter.applied(recordId, result);
        if (result instanceof ClaimApplyResult.Won won) {
            releaseIfUnclaimed(won.claim(), owner);
        }
        if (result instanceof ClaimApplyResult.Changed changed) {
            releaseIfAbandoned(changed.claim(), owner);
            mListeners.fire(changed.claim().key());
        }
    }

    // Releases a claim whose handover took effect after its caller had been told that it failed.
    private void releaseIfAbandoned(ClaimView claim, ConfirmedWriter.Owner owner) {
        if (owner == ConfirmedWriter.Owner.ABANDONED && claim.status() == ClaimStatus.OPEN) {
            int handovers = claim.assignment().map(ClaimView.Assignment::handovers).orElse(0);
            mWriter.release(claim.ref(), handovers, ReleaseProof.HOLDER_NEVER_SENT);
        }
    }

    // Releases a claim of this entry that won although nobody will send its call: its caller has
    // been refused in the meantime, or it is a late duplicate of a claim that had lost.
    private void releaseIfUnclaimed(ClaimView claim, ConfirmedWriter.Owner owner) {
        boolean isOwnClaim =
                claim.assignment()
                        .filter(assignment -> assignment.entry().equals(mEntry))
                        .isPresent();
        if (isOwnClaim && owner != ConfirmedWriter.Owner.WAITING) {
            mWriter.release(claim.ref(), 0, ReleaseProof.HOLDER_NEVER_SENT);
        }
    }

    /** Clears a partition because older records of its stream can no longer be read. */
    public void restart(int partition, long firstOffset) {
        mTable.restart(partition, firstOffset);
    }

    /** Returns the state machine of one partition, for the follower of its stream. */
    public RecordStateMachine stateMachine(int partition) {
        return new RecordStateMachine() {
            @Override
            public void apply(long offset, long timeMillis, String recordId, byte[] data) {
                ClaimService.this.apply(partition, offset, timeMillis, recordId, data);
            }

            @Override
            public void restart(long firstOffset) {
                ClaimService.this.restart(partition, firstOffset);
            }
        };
    }

    /** Returns the claim state of all partitions. */
    public ClaimTable table() {
        return mTable;
    }

    /** Returns the recovery of claims whose holder may have failed. */
    public ClaimRecovery recovery() {
        return mRecovery;
    }

    /** Returns the number of outcomes and releases that are not yet in the log. */
    public int unsaved() {
        return mPersistentWriter.pending();
    }

    EntryId entry() {
        return mEntry;
    }

    ClaimSettings settings() {
        return mSettings;
    }

    Scheduler scheduler() {
        return mScheduler;
    }

    TimeSource time() {
        return mTime;
    }

    EntryLiveness liveness() {
        return mLiveness;
    }

    OutcomeCache outcomes() {
        return mOutcomes;
    }

    KeyListeners listeners() {
        return mListeners;
    }

    CompletableFuture<Either<Refusal, ClaimApplyResult>> append(
            KeyHash key, ClaimRecord.Claim claim, Duration timeout) {
        String stream = ClaimSettings.streamName(mTable.partitionOf(key));
        return mConfirmedWriter.write(stream, ClaimTable.CODEC.encode(claim), timeout);
    }

    /** Builds a service. */
    public static final class Builder {

        private EntryId mEntry;
        private ClaimSettings mSettings = ClaimSettings.builder().build();
        private ClaimTable mTable;
        private RecordSink mSink;
        private RecordSource mSource;
        private AgentQueryClient mAgents;
        private EntryLiveness mLiveness = entry -> false;
        private ClaimEvents mEvents = ClaimEvents.NONE;
        private Scheduler mScheduler;
        private TimeSource mTime;
        private Supplier<String> mIds = () -> UUID.randomUUID().toString();

        private Builder() {}

        /** Sets the identifier of this run of the entry. */
        public Builder entry(EntryId entry) {
            mEntry = entry;
            return this;
        }

        /** Sets the claim settings. */
        public Builder settings(ClaimSettings settings) {
            mSettings = settings;
            return this;
        }

        /** Sets the sink that records are appended to. */
        public Builder sink(RecordSink sink) {
            mSink = sink;
            return this;
        }

        /** Sets the source that recorded outcomes are read from. */
        public Builder source(RecordSource source) {
            mSource = source;
            return this;
        }

        /** Sets the client that queries agents. */
        public Builder agents(AgentQueryClient agents) {
            mAgents = agents;
            return this;
        }

        /** Sets the failure detector for entries. */
        public Builder liveness(EntryLiveness liveness) {
            mLiveness = liveness;
            return this;
        }

        /** Sets the receiver of claim events. */
        public Builder events(ClaimEvents events) {
            mEvents = events;
            return this;
        }

        /** Sets the scheduler of delayed tasks. */
        public Builder scheduler(Scheduler scheduler) {
            mScheduler = scheduler;
            return this;
        }

        /** Sets the clock. */
        public Builder time(TimeSource time) {
            mTime = time;
            return this;
        }

        /** Sets the source of record identifiers; they must be globally unique. */
        public Builder recordIds(Supplier<String> ids) {
            mIds = ids;
            return this;
        }

        Builder table(ClaimTable table) {
            mTable = table;
            return this;
        }

        /** Builds the service. */
        public ClaimService build() {
            return new ClaimService(this);
        }
    }
}
