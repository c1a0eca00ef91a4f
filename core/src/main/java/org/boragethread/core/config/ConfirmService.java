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
 * Confirms plans through the log. A confirmation may be repeated, at this or another entry, and has
 * the same result each time.
 */
public final class ConfirmService implements ConfigListener {

    private final ConfigStore mStore;
    private final RecordWriter mWriter;
    private final Duration mTimeout;
    private final Map<PlanId, CompletableFuture<Either<ConfigError, Long>>> mWaiting =
            new ConcurrentHashMap<>();

    /**
     * Creates a service and listens to the store.
     *
     * @param writer writes to the configuration stream
     * @param timeout how long to try one confirmation
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
     * @return the revision at which the plan took effect; the future never completes exceptionally
     */
    public CompletableFuture<Either<ConfigError, Long>> confirm(Plan plan) {
        Optional<Either<ConfigError, Long>> early = early(plan);
        if (early.isPresent()) {
            return CompletableFuture.completedFuture(early.get());
        }
        CompletableFuture<Either<ConfigError, Long>> mine = new CompletableFuture<>();
        CompletableFuture<Either<ConfigError, Long>> other = mWaiting.putIfAbsent(plan.id(), mine);
        if (other != null) {
            return other;
        }
        byte[] data = ConfigCodec.writeRecord(new ConfigRecord.Confirmation(plan));
        mWriter.write(new LogEntry("plan-" + plan.id(), data), mTimeout)
                .thenAccept(result -> written(plan, result));
        return mine;
    }

    @Override
    public void onVerdict(Verdict verdict) {
        verdict.plan().filter(mWaiting::containsKey).ifPresent(this::completeIfKnown);
    }

    @Override
    public void onConfiguration(Configuration configuration) {
        mWaiting.keySet().forEach(this::completeIfKnown);
    }

    private void completeIfKnown(PlanId plan) {
        known(plan).ifPresent(result -> complete(plan, result));
    }

    private void written(Plan plan, Either<WriteError, Long> result) {
        Either<ConfigError, Long> unknown = Either.left(errorOf(plan, result));
        complete(plan.id(), known(plan.id()).orElse(unknown));
    }

    private void complete(PlanId plan, Either<ConfigError, Long> result) {
        CompletableFuture<Either<ConfigError, Long>> waiting = mWaiting.remove(plan);
        if (waiting != null) {
            waiting.complete(result);
        }
    }

    private Optional<Either<ConfigError, Long>> early(Plan plan) {
        if (!ConfigCodec.digestOf(plan).equals(plan.id())) {
            return error(ConfigError.Kind.DIGEST, plan, "its content differs from its digest");
        }
        Optional<Either<ConfigError, Long>> known = known(plan.id());
        if (known.isPresent()) {
            return known;
        }
        Configuration current = mStore.current();
        Optional<ConfigError> error = ConfigFold.checkPlan(plan, current);
        if (error.isPresent()) {
            return error.map(Either::left);
        }
        List<ObjectConflict> conflicts = ConfigFold.conflicts(current, plan);
        if (current.revision() >= plan.baseRevision() && !conflicts.isEmpty()) {
            return error(ConfigError.Kind.CONFLICT, plan, join(conflicts));
        }
        return Optional.empty();
    }

    /** Returns the fate of a plan, if it has been decided. */
    private Optional<Either<ConfigError, Long>> known(PlanId plan) {
        Optional<PlanDecision> decision = mStore.current().decision(plan);
        if (decision.filter(PlanDecision::accepted).isPresent()) {
            return decision.map(d -> Either.right(d.offset()));
        }
        Optional<Verdict> verdict = mStore.verdict(plan);
        if (verdict.isPresent() && verdict.get() instanceof Verdict.Invalid i) {
            return Optional.of(Either.left(i.error()));
        }
        if (verdict.isPresent() && verdict.get() instanceof Verdict.Conflict c) {
            return Optional.of(Either.left(conflict(plan, c.detail())));
        }
        return decision.map(d -> Either.left(conflict(plan, "objects had changed")));
    }

    private static ConfigError errorOf(Plan plan, Either<WriteError, Long> result) {
        if (result.isRight()) {
            return new ConfigError(
                    ConfigError.Kind.OUTCOME_UNKNOWN,
                    "plan %s was read back at %d without a verdict"
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
