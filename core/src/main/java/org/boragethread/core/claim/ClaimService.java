package org.boragethread.core.claim;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.boragethread.core.record.ConfirmedWriter;
import org.boragethread.core.record.PersistentWriter;
import org.boragethread.core.record.RecordFold;
import org.boragethread.core.record.RecordSink;
import org.boragethread.core.record.RecordSource;
import org.boragethread.core.time.Scheduler;
import org.boragethread.core.time.TimeSource;
import org.boragethread.model.claim.ClaimOutcome;
import org.boragethread.model.claim.ClaimRef;
import org.boragethread.model.claim.ClaimTarget;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.place.EntryId;

/**
 * The entry's side of claims: wins the right to run a call, or finds what became of an earlier one.
 * Safe for use by several threads; completes futures without holding locks.
 *
 * <p>Whoever gets {@link ClaimDecision.Run} must do one of these:
 *
 * <ul>
 *   <li>send the call once, over a connection to the very incarnation that the claim names, and
 *       then report {@link #outcome}, {@link #unresolved}, or {@link #release} if the agent proves
 *       that the call did not run;
 *   <li>{@link #release} the claim as {@link ReleaseProof#HOLDER_NEVER_SENT};
 *   <li>after proof that the present agent has not run the call, {@link #handover} it, and send it
 *       to the next agent only once that has succeeded.
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
    private final PersistentWriter mPersistentWriter;
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
                new PersistentWriter(
                        builder.mSink, mScheduler, mSettings.maxUnsaved(), builder.mIds);
        mWriter = new ClaimWriter(mPersistentWriter, mSettings.maxOutcomeBytes());
        mOutcomes = new OutcomeCache(builder.mSource, mSettings.cacheBytes());
        mRecovery = new ClaimRecovery(builder.mAgents, mWriter, mOutcomes);
    }

    /** Starts a service without collaborators; all of them must be set. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Claims a key. While another claim for it is open, waits for that one's outcome.
     *
     * @param target the agent that the call will go to
     * @param remaining time until the caller's deadline
     * @return the decision, or why there is none; never completes exceptionally. The reasons are
     *     log unavailable, key reused, key in progress and key outcome unknown.
     */
    public CompletableFuture<Either<Refusal, ClaimDecision>> claim(
            ClaimRequest request, ClaimTarget target, Duration remaining) {
        CompletableFuture<Either<Refusal, ClaimDecision>> decision =
                new ClaimAttempt(this, request, target, remaining).start();
        decision.thenAccept(mEvents::decided);
        return decision;
    }

    /**
     * Names another agent for a held claim, after proof that the present agent has not run the
     * call.
     *
     * @return true once the handover is in force; otherwise the call must not be sent any more, and
     *     the claim is released
     */
    public CompletableFuture<Boolean> handover(
            ClaimRef ref, ClaimTarget target, Duration remaining) {
        int handovers = handovers(ref);
        byte[] data =
                ClaimTable.CODEC.encode(
                        new ClaimRecord.Handover(ref.offset(), handovers + 1, target));
        return mConfirmedWriter
                .write(ClaimSettings.streamName(ref.partition()), data, remaining)
                .thenApply(verdict -> isInForce(ref, handovers, verdict));
    }

    private boolean isInForce(
            ClaimRef ref, int handovers, Either<Refusal, ClaimApplyResult> verdict) {
        if (verdict.isRight() && verdict.get() instanceof ClaimApplyResult.Changed) {
            return true;
        }
        mWriter.release(ref, handovers, ReleaseProof.AGENT_NOT_RUN);
        return false;
    }

    /** Records the whole answer of a claimed call. Does not wait for the log. */
    public void outcome(ClaimRef ref, ClaimOutcome outcome) {
        mOutcomes.put(ref, outcome);
        mWriter.outcome(ref, outcome);
        mTable.findOpen(ref).ifPresent(claim -> mListeners.fire(claim.key()));
    }

    /** Records that a claimed call has not run and will not run. Does not wait for the log. */
    public void release(ClaimRef ref, ReleaseProof proof) {
        mWriter.release(ref, handovers(ref), proof);
    }

    /** Records that nobody can tell whether a claimed call ran. Does not wait for the log. */
    public void unresolved(ClaimRef ref) {
        mWriter.unresolved(ref, handovers(ref));
    }

    /**
     * Settles a claim that this entry holds and whose answer was lost. The agent is asked to refuse
     * the claim unless it has begun, so the call must not be sent under this claim any more.
     *
     * @return what the agent knows, or empty if it cannot be reached now or the claim is settled
     *     already; {@link #claim} then finds the outcome
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
     * Takes the next record of a claim stream. Records of one partition must come in order.
     *
     * @param timeMillis the record's log time, in milliseconds since 1970
     */
    public void apply(int partition, long offset, long timeMillis, String recordId, byte[] data) {
        ClaimApplyResult verdict = mTable.apply(partition, offset, timeMillis, recordId, data);
        ConfirmedWriter.Owner owner = mConfirmedWriter.applied(recordId, verdict);
        if (verdict instanceof ClaimApplyResult.Won won) {
            releaseIfUnclaimed(won.claim(), owner);
        }
        if (verdict instanceof ClaimApplyResult.Changed changed) {
            releaseIfAbandoned(changed.claim(), owner);
            mListeners.fire(changed.claim().key());
        }
    }

    // A handover came into force after its caller was told that it had failed.
    private void releaseIfAbandoned(ClaimView claim, ConfirmedWriter.Owner owner) {
        if (owner == ConfirmedWriter.Owner.ABANDONED && claim.status() == ClaimStatus.OPEN) {
            int handovers = claim.assignment().map(ClaimView.Assignment::handovers).orElse(0);
            mWriter.release(claim.ref(), handovers, ReleaseProof.HOLDER_NEVER_SENT);
        }
    }

    // A claim of this entry whose caller was refused meanwhile, or a late repetition of one that
    // had lost, holds the key although nobody will send its call.
    private void releaseIfUnclaimed(ClaimView claim, ConfirmedWriter.Owner owner) {
        boolean isMine = claim.assignment().filter(open -> open.entry().equals(mEntry)).isPresent();
        if (isMine && owner != ConfirmedWriter.Owner.WAITING) {
            mWriter.release(claim.ref(), 0, ReleaseProof.HOLDER_NEVER_SENT);
        }
    }

    /** Forgets a partition because older records of its stream can no longer be read. */
    public void restart(int partition, long firstOffset) {
        mTable.restart(partition, firstOffset);
    }

    /** Returns the fold of one partition's stream, for the stream's follower. */
    public RecordFold stateMachine(int partition) {
        return new RecordFold() {
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

    /** Returns the claim ledgers. */
    public ClaimTable table() {
        return mTable;
    }

    /** Returns the recovery of claims whose holders may be gone. */
    public ClaimRecovery recovery() {
        return mRecovery;
    }

    /** Returns the number of outcomes and releases that are not yet in the log. */
    public int unsaved() {
        return mPersistentWriter.unfinished();
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
            KeyHash key, ClaimRecord.Claim claim, Duration limit) {
        String stream = ClaimSettings.streamName(mTable.partitionOf(key));
        return mConfirmedWriter.write(stream, ClaimTable.CODEC.encode(claim), limit);
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

        /** Sets this run of this entry. */
        public Builder entry(EntryId entry) {
            mEntry = entry;
            return this;
        }

        /** Sets the settings. */
        public Builder settings(ClaimSettings settings) {
            mSettings = settings;
            return this;
        }

        /** Sets where records go. */
        public Builder sink(RecordSink sink) {
            mSink = sink;
            return this;
        }

        /** Sets where recorded outcomes are read. */
        public Builder source(RecordSource source) {
            mSource = source;
            return this;
        }

        /** Sets how agents are asked. */
        public Builder agents(AgentQueryClient agents) {
            mAgents = agents;
            return this;
        }

        /** Sets how the life of entries is judged. */
        public Builder liveness(EntryLiveness liveness) {
            mLiveness = liveness;
            return this;
        }

        /** Sets the receiver of countable events. */
        public Builder events(ClaimEvents events) {
            mEvents = events;
            return this;
        }

        /** Sets what runs delayed tasks. */
        public Builder scheduler(Scheduler scheduler) {
            mScheduler = scheduler;
            return this;
        }

        /** Sets the clock. */
        public Builder time(TimeSource time) {
            mTime = time;
            return this;
        }

        /** Sets the source of record identifiers; they must be unique for ever. */
        public Builder recordIds(Supplier<String> ids) {
            mIds = ids;
            return this;
        }

        Builder table(ClaimTable table) {
            mTable = table;
            return this;
        }

        /** Returns the service. */
        public ClaimService build() {
            return new ClaimService(this);
        }
    }
}
