package org.boragethread.core.config;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.boragethread.core.log.LogEntry;
import org.boragethread.core.log.RecordWriter;
import org.boragethread.core.log.WriteError;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.Plan;
import org.boragethread.model.config.PlanDecision;
import org.boragethread.model.config.PlanId;

/**
 * Confirms plans by appending them to the log. Confirmation is idempotent: it may be repeated, at
 * this or another entry, with the same result.
 */
public final class ConfirmService implements ConfigListener {

    private final ConfigStore mStore;
    private final RecordWriter mWriter;
    private final Duration mTimeout;
    private final Map<PlanId, CompletableFuture<Either<ConfigError, Long>>> mPending =
            new ConcurrentHashMap<>();

    /**
     * Creates a service and adds it to the store as a listener.
     *
     * @param writer writer to the configuration stream
     * @param timeout time limit for writing one confirmation
     */
    public ConfirmService(ConfigStore store, RecordWriter writer, Duration timeout) {
        mStore = Objects.requireNonNull(store, "store");
        mWriter = Objects.requireNonNull(writer, "writer");
        mTimeout = Objects.requireNonNull(timeout, "timeout");
        store.addListener(this);
    }

    /**
     * Confirms a plan.
     *
     * @return the revision at which the plan takes effect; the future never completes exceptionally
     */
    public CompletableFuture<Either<ConfigError, Long>> confirm(Plan plan) {
        Optional<Either<ConfigError, Long>> earlyResult = checkBeforeWriting(plan);
        if (earlyResult.isPresent()) {
            return CompletableFuture.completedFuture(earlyResult.get());
        }
        CompletableFuture<Either<ConfigError, Long>> pending = new CompletableFuture<>();
        CompletableFuture<Either<ConfigError, Long>> existing =
                mPending.putIfAbsent(plan.id(), pending);
        if (existing != null) {
            return existing;
        }
        byte[] data = ConfigCodec.writeRecord(new ConfigRecord.Confirmation(plan));
        mWriter.write(new LogEntry("plan-" + plan.id(), data), mTimeout)
                .thenAccept(result -> onWritten(plan, result));
        return pending;
    }

    @Override
    public void onRecordApplied(RecordOutcome outcome) {
        outcome.plan().filter(mPending::containsKey).ifPresent(this::completeIfDecided);
    }

    @Override
    public void onConfiguration(Configuration configuration) {
        mPending.keySet().forEach(this::completeIfDecided);
    }

    private void completeIfDecided(PlanId plan) {
        decidedResult(plan).ifPresent(result -> complete(plan, result));
    }

    private void onWritten(Plan plan, Either<WriteError, Long> result) {
        Either<ConfigError, Long> unknown = Either.left(undecidedError(plan, result));
        complete(plan.id(), decidedResult(plan.id()).orElse(unknown));
    }

    private void complete(PlanId plan, Either<ConfigError, Long> result) {
        CompletableFuture<Either<ConfigError, Long>> pending = mPending.remove(plan);
        if (pending != null) {
            pending.complete(result);
        }
    }

    private Optional<Either<ConfigError, Long>> checkBeforeWriting(Plan plan) {
        if (!ConfigCodec.digestOf(plan).equals(plan.id())) {
            return error(ConfigError.Kind.DIGEST, plan, "its content does not match its digest");
        }
        Optional<Either<ConfigError, Long>> decided = decidedResult(plan.id());
        if (decided.isPresent()) {
            return decided;
        }
        Configuration current = mStore.current();
        Optional<ConfigError> error = ConfigStateMachine.checkPlan(plan, current);
        if (error.isPresent()) {
            return error.map(Either::left);
        }
        List<ObjectConflict> conflicts = ConfigStateMachine.conflicts(current, plan);
        if (current.revision() >= plan.baseRevision() && !conflicts.isEmpty()) {
            return error(ConfigError.Kind.CONFLICT, plan, join(conflicts));
        }
        return Optional.empty();
    }

    /** Returns the result of a plan's confirmation, if the plan has been decided. */
    private Optional<Either<ConfigError, Long>> decidedResult(PlanId plan) {
        Optional<PlanDecision> decision = mStore.current().decision(plan);
        if (decision.filter(PlanDecision::accepted).isPresent()) {
            return decision.map(d -> Either.right(d.offset()));
        }
        Optional<RecordOutcome> outcome = mStore.outcome(plan);
        if (outcome.isPresent() && outcome.get() instanceof RecordOutcome.Invalid i) {
            return Optional.of(Either.left(i.error()));
        }
        if (outcome.isPresent() && outcome.get() instanceof RecordOutcome.Conflict c) {
            return Optional.of(Either.left(conflict(plan, c.detail())));
        }
        return decision.map(
                d -> Either.left(conflict(plan, "objects that it touches had changed")));
    }

    private static ConfigError undecidedError(Plan plan, Either<WriteError, Long> result) {
        if (result.isRight()) {
            return new ConfigError(
                    ConfigError.Kind.OUTCOME_UNKNOWN,
                    "plan %s was read back at offset %d, but no outcome is known for it"
                            .formatted(plan.id(), result.get()));
        }
        WriteError error = result.getLeft();
        ConfigError.Kind kind =
                switch (error.kind()) {
                    case NOT_WRITTEN -> ConfigError.Kind.LOG_UNAVAILABLE;
                    case OUTCOME_UNKNOWN -> ConfigError.Kind.OUTCOME_UNKNOWN;
                    case OVERLOADED -> ConfigError.Kind.OVERLOADED;
                    case REJECTED -> ConfigError.Kind.INVALID;
                };
        return new ConfigError(kind, error.detail());
    }

    private static Optional<Either<ConfigError, Long>> error(
            ConfigError.Kind kind, Plan plan, String detail) {
        return Optional.of(
                Either.left(
                        new ConfigError(
                                kind,
                                "plan for intent \"%s\": %s"
                                        .formatted(plan.intent().id(), detail))));
    }

    private static ConfigError conflict(PlanId plan, String detail) {
        return new ConfigError(ConfigError.Kind.CONFLICT, "plan %s: %s".formatted(plan, detail));
    }

    private static String join(List<ObjectConflict> conflicts) {
        return conflicts.stream().map(ObjectConflict::message).collect(Collectors.joining("; "));
    }
}
