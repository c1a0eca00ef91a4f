package org.boragethread.core.rollout;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.boragethread.core.member.Member;
import org.boragethread.core.time.TimeSource;

/**
 * Whether every entry has stopped using the old version. An entry that has ended without saying so
 * may have requests in flight for a while, and so may one that ended before this process knew the
 * members. Not thread-safe.
 */
final class SwitchBarrier {

    private final TimeSource mTime;
    private final Duration mDepartureTime;
    private final Map<Incarnation, Progress> mReports = new HashMap<>();
    private final Map<Incarnation, Long> mGoneSince = new HashMap<>();
    private Set<Incarnation> mLive = Set.of();
    private Optional<Long> mMembersSince = Optional.empty();
    private Optional<RolloutOrder> mFollowedOrder = Optional.empty();

    SwitchBarrier(TimeSource time, Duration departureTime) {
        mTime = time;
        mDepartureTime = departureTime;
    }

    void setMembers(Collection<Member> members) {
        Set<Incarnation> live = new HashSet<>();
        members.forEach(member -> live.add(new Incarnation(member.address(), member.startedAt())));
        long now = mTime.nanoTime();
        mLive.forEach(member -> mGoneSince.putIfAbsent(member, now));
        mGoneSince.keySet().removeAll(live);
        mGoneSince.values().removeIf(this::isDeparted);
        mLive = live;
        mReports.entrySet().removeIf(report -> isForgotten(report.getKey(), report.getValue()));
        if (!live.isEmpty() && mMembersSince.isEmpty()) {
            mMembersSince = Optional.of(now);
        }
    }

    private boolean isForgotten(Incarnation entry, Progress report) {
        return !mLive.contains(entry)
                && !mGoneSince.containsKey(entry)
                && isDeparted(report.receivedAt());
    }

    /** Forgets the reports on earlier orders. */
    void beginOrder(RolloutOrder order) {
        mReports.values().removeIf(report -> !report.order().equals(order));
    }

    /**
     * Takes a state that was read; from a trial on, this process knows all members of the order.
     */
    void onState(RolloutState state) {
        if (state.phase() == RolloutPhase.TRIAL && mMembersSince.isPresent()) {
            mFollowedOrder = Optional.of(state.order());
        }
    }

    void onReport(EntryReport report) {
        mReports.merge(
                new Incarnation(report.address(), report.startedAt()),
                new Progress(
                        report.sequence(),
                        report.state().order(),
                        report.state().revision(),
                        report.oldInFlight(),
                        mTime.nanoTime()),
                (known, other) -> other.sequence() > known.sequence() ? other : known);
    }

    /** Returns the number of starts of entries whose reports are kept. */
    int reportCount() {
        return mReports.size();
    }

    /** Returns whether all live members have reported in the order of a state. */
    boolean haveAllReported(RolloutState state) {
        return !mLive.isEmpty()
                && mLive.stream().allMatch(member -> report(member, state).isPresent());
    }

    /** Returns whether no request is in flight at the old version, at any entry. */
    boolean isClear(RolloutState state) {
        boolean areMembersKnown =
                mFollowedOrder.filter(state.order()::equals).isPresent()
                        || mMembersSince.filter(this::isDeparted).isPresent();
        return areMembersKnown
                && !mLive.isEmpty()
                && mLive.stream().allMatch(member -> hasLeftOldVersion(member, state))
                && mReports.keySet().stream().allMatch(entry -> isUnblocked(entry, state))
                && mGoneSince.entrySet().stream()
                        .allMatch(
                                gone ->
                                        isDeparted(gone.getValue())
                                                || hasLeftOldVersion(gone.getKey(), state));
    }

    /** An entry that still reports is in use, also if its membership has expired. */
    private boolean isUnblocked(Incarnation entry, RolloutState state) {
        return hasLeftOldVersion(entry, state) || isDeparted(mReports.get(entry).receivedAt());
    }

    private boolean hasLeftOldVersion(Incarnation member, RolloutState state) {
        return report(member, state)
                .filter(report -> report.revision() >= state.revision())
                .filter(report -> report.oldInFlight() == 0)
                .isPresent();
    }

    private Optional<Progress> report(Incarnation member, RolloutState state) {
        return Optional.ofNullable(mReports.get(member))
                .filter(report -> report.order().equals(state.order()));
    }

    private boolean isDeparted(long sinceNanos) {
        return mTime.since(sinceNanos).compareTo(mDepartureTime) >= 0;
    }

    /** What the barrier needs of the newest report of an entry. */
    private record Progress(
            long sequence, RolloutOrder order, long revision, long oldInFlight, long receivedAt) {}

    /** One start of an entry. */
    private record Incarnation(String address, long startedAt) {}
}
