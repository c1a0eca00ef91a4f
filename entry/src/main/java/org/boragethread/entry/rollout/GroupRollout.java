package org.boragethread.entry.rollout;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.boragethread.core.follow.ClockReading;
import org.boragethread.core.member.Member;
import org.boragethread.core.rollout.EntryReport;
import org.boragethread.core.rollout.RolloutBounds;
import org.boragethread.core.rollout.RolloutCoordinator;
import org.boragethread.core.rollout.RolloutEvents;
import org.boragethread.core.rollout.RolloutLog;
import org.boragethread.core.rollout.RolloutOrder;
import org.boragethread.core.rollout.RolloutRequest;
import org.boragethread.core.rollout.RolloutState;
import org.boragethread.core.rollout.RolloutTable;
import org.boragethread.core.rollout.Verdict;
import org.boragethread.core.rollout.VersionSide;
import org.boragethread.model.upstream.GroupId;
import org.boragethread.model.upstream.SoftwareVersion;
import org.boragethread.process.log.EventLog;

/** The roll-outs of one group at this process. Not thread-safe. */
final class GroupRollout implements RolloutEvents {

    /** Time after a report on another state in which to decide; reports come much more often. */
    private static final Duration CONTRADICTION_TIME =
            Duration.ofMillis(4 * EntryReport.PERIOD_MILLIS);

    private final GroupId mId;
    private final RolloutContext mContext;
    private final RolloutTable mTable;
    private final Member mSelf;
    private final RolloutMetrics mMetrics;
    private final Consumer<RolloutState> mOnRecorded;
    private final GroupUses mUses;
    private final RolloutBounds mBounds;
    private final RolloutLog mLog;
    private Optional<RolloutCoordinator> mCoordinator = Optional.empty();
    private Optional<ClockReading> mRequestReadAt = Optional.empty();
    private Collection<Member> mMembers = List.of();
    private Optional<RolloutRequest> mRequest = Optional.empty();
    private List<Verdict.Kind> mLoggedVerdicts = List.of();
    private String mLogFailure = "";
    private long mSequence;

    /** Whether the store may lack the known state, since it came back from an older copy. */
    private boolean mLost;

    private Optional<Long> mContradictedAt = Optional.empty();

    /**
     * Creates a group of which no order is known.
     *
     * @param onRecorded called when this process has recorded a state
     */
    GroupRollout(
            GroupId id,
            RolloutContext context,
            RolloutBounds bounds,
            RolloutTable table,
            RolloutLog log,
            Member self,
            RolloutMetrics metrics,
            Consumer<RolloutState> onRecorded) {
        mId = id;
        mContext = context;
        mTable = table;
        mSelf = self;
        mMetrics = metrics;
        mOnRecorded = onRecorded;
        mUses = new GroupUses(id, table, context.time(), metrics);
        mBounds = bounds;
        mLog = log;
        metrics.showPhase(id, () -> table.state(id).map(s -> s.phase().ordinal()).orElse(-1));
    }

    GroupId id() {
        return mId;
    }

    GroupUses uses() {
        return mUses;
    }

    /** Returns whether an order is recorded as running. */
    boolean isRunning() {
        return mTable.state(mId).filter(state -> !state.phase().isEnded()).isPresent();
    }

    /**
     * Returns whether something is to be recorded: an order is running, or its removal or its end
     * is not in the store.
     */
    boolean isUnsettled() {
        return isRunning() || isWithdrawalDue() || mLost;
    }

    /** Called when the store came back from an older copy, which may lack the known state. */
    void onStoreRestored() {
        mLost = mTable.state(mId).isPresent();
    }

    /** Returns whether the removal of an order is not recorded yet. */
    private boolean isWithdrawalDue() {
        return mRequestReadAt.isPresent()
                && mRequest.isEmpty()
                && mTable.state(mId).filter(state -> !state.withdrawn()).isPresent();
    }

    void setRequest(Optional<RolloutRequest> request, ClockReading asOf) {
        mRequest = request;
        mRequestReadAt = Optional.of(asOf);
        coordinator().ifPresent(coordinator -> coordinator.setRequest(request, asOf));
    }

    void setMembers(Collection<Member> members) {
        mMembers = members;
        coordinator().ifPresent(coordinator -> coordinator.setMembers(members));
    }

    /** Takes a state that the store has, after the table took it. */
    void onState(RolloutState state) {
        mLost = mLost && !isKnown(state);
        coordinator().ifPresent(coordinator -> coordinator.onState(state));
        mTable.state(mId).ifPresent(known -> mUses.setOrder(known.order()));
    }

    private boolean isKnown(RolloutState state) {
        return mTable.state(mId).filter(state::isRepeatedBy).isPresent();
    }

    void onReport(EntryReport report) {
        if (!isKnown(report.state())) {
            mContradictedAt = Optional.of(mContext.time().nanoTime());
        }
        coordinator().ifPresent(coordinator -> coordinator.onReport(report));
    }

    /** Returns whether the coordinator is to decide something. */
    boolean needsCoordinator() {
        boolean isPending =
                mRequest.isPresent()
                        && mTable.state(mId).filter(state -> state.isOf(mRequest.get())).isEmpty();
        return isPending || isUnsettled();
    }

    /** Returns a report for the coordinator; empty if nothing is to be recorded. */
    Optional<EntryReport> nextReport() {
        if (!isUnsettled()) {
            return Optional.empty();
        }
        RolloutState state = mTable.state(mId).orElseThrow();
        mSequence++;
        return Optional.of(
                new EntryReport(
                        mSelf.address(),
                        mSelf.startedAt(),
                        mSequence,
                        state,
                        mUses.inFlightOutside(state.target()),
                        mUses.evidence()));
    }

    /** Decides on the roll-out, as the coordinator of the group. */
    void tick() {
        if (mRequest.isEmpty() && !isUnsettled() && !isContradicted()) {
            return;
        }
        coordinator()
                .ifPresent(
                        coordinator -> {
                            coordinator.setVersions(announcedVersions());
                            coordinator.tick();
                            logVerdicts(coordinator.verdicts());
                        });
    }

    /**
     * Returns whether an entry reports another state than this one has read. A coordinator that
     * started after the store was restored knows a lost end by reports only.
     */
    private boolean isContradicted() {
        return mContradictedAt
                .filter(at -> mContext.time().since(at).compareTo(CONTRADICTION_TIME) < 0)
                .isPresent();
    }

    /**
     * Returns the coordinator; empty until the configuration is known, which limits how long an
     * entry that ended may have requests in flight.
     */
    private Optional<RolloutCoordinator> coordinator() {
        if (mCoordinator.isEmpty()) {
            mCoordinator = mContext.departureTime().get().map(this::createCoordinator);
        }
        return mCoordinator;
    }

    private RolloutCoordinator createCoordinator(Duration departureTime) {
        RolloutBounds bounds =
                new RolloutBounds(mBounds.share(), mBounds.rollbackTime(), departureTime);
        RolloutCoordinator coordinator =
                new RolloutCoordinator(mId, mContext.time(), bounds, mLog, this);
        mRequestReadAt.ifPresent(asOf -> coordinator.setRequest(mRequest, asOf));
        coordinator.setMembers(mMembers);
        mTable.state(mId).ifPresent(coordinator::onState);
        return coordinator;
    }

    private Set<SoftwareVersion> announcedVersions() {
        Set<SoftwareVersion> versions = new HashSet<>();
        mContext.directory()
                .of(mId)
                .forEach(node -> node.entry().softwareVersion().ifPresent(versions::add));
        return versions;
    }

    private void logVerdicts(List<Verdict> verdicts) {
        List<Verdict.Kind> kinds = verdicts.stream().map(Verdict::kind).toList();
        if (kinds.equals(mLoggedVerdicts)) {
            return;
        }
        mLoggedVerdicts = kinds;
        for (Verdict verdict : verdicts) {
            line("rollout-verdict")
                    .with("route", verdict.route())
                    .with("outcome", verdict.kind())
                    .with("detail", verdict.reason())
                    .info();
        }
    }

    private EventLog.Line line(String event) {
        return mContext.log().event(event).with("group", mId);
    }

    @Override
    public void onRecorded(RolloutState state, String reason) {
        mMetrics.onDecision(mId, state.phase());
        EventLog.Line line =
                line("rollout")
                        .with("target", state.target())
                        .with("phase", state.phase())
                        .with("revision", state.revision())
                        .with("started", state.order().startedMillis());
        for (VersionSide side : VersionSide.values()) {
            var counts = mCoordinator.orElseThrow().evidence().total(side);
            line.with(side + ".responses", counts.responses())
                    .with(side + ".failures", counts.allFailures());
        }
        line.with("outcome", "recorded").with("reason", reason).info();
        mOnRecorded.accept(state);
    }

    @Override
    public void onBlocked(RolloutOrder order, String message) {
        line("rollout")
                .with("target", order.request().target())
                .with("outcome", "blocked")
                .with("remedy", message)
                .warn();
    }

    @Override
    public void onLogFailure(String message) {
        if (!message.equals(mLogFailure)) {
            mLogFailure = message;
            line("rollout").with("outcome", "not-recorded").with("detail", message).warn();
        }
    }
}
