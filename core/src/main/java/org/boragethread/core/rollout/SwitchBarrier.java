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
    private final Map<Incarnation, EntryReport> mReports = new HashMap<>();
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
        mGoneSince.entrySet().removeIf(gone -> forgetIfDeparted(gone.getKey(), gone.getValue()));
        mLive = live;
        if (!live.isEmpty() && mMembersSince.isEmpty()) {
            mMembersSince = Optional.of(now);
        }
    }

    private boolean forgetIfDeparted(Incarnation member, long goneSince) {
        if (!isDeparted(goneSince)) {
            return false;
        }
        mReports.remove(member);
        return true;
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
                report,
                (known, other) -> other.sequence() > known.sequence() ? other : known);
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
                && mGoneSince.entrySet().stream()
                        .allMatch(
                                gone ->
                                        isDeparted(gone.getValue())
                                                || hasLeftOldVersion(gone.getKey(), state));
    }

    private boolean hasLeftOldVersion(Incarnation member, RolloutState state) {
        return report(member, state)
                .filter(report -> report.state().revision() >= state.revision())
                .filter(report -> report.oldInFlight() == 0)
                .isPresent();
    }

    private Optional<EntryReport> report(Incarnation member, RolloutState state) {
        return Optional.ofNullable(mReports.get(member))
                .filter(report -> report.state().order().equals(state.order()));
    }

    private boolean isDeparted(long sinceNanos) {
        return mTime.since(sinceNanos).compareTo(mDepartureTime) >= 0;
    }

    /** One start of an entry. */
    private record Incarnation(String address, long startedAt) {}
}
