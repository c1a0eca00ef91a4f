package org.boragethread.core.rollout;

import java.time.Duration;
import java.util.Optional;

/** Decides the next phase of a running order from the evidence and the time. */
final class PhaseDecision {

    /** Part of the period in which late regressions are looked for. */
    private static final double SWITCH_SHARE = 0.6;

    /** Part of the period until which more responses are waited for. */
    private static final double WAIT_SHARE = 0.75;

    /** Part of the period at which the likelier alternative is taken. */
    private static final double FORCED_SHARE = 0.9;

    /** Part of the period until which a disruption of both versions is waited for. */
    private static final double DISRUPTED_SHARE = 0.95;

    /** Time without an announcement of a version after which it is taken for gone. */
    static final Duration ABSENCE = Duration.ofSeconds(3);

    private PhaseDecision() {}

    /**
     * Returns the next phase, or empty if the phase lasts.
     *
     * @param state state of a running order
     * @param review judgement of the evidence
     * @param situation what else the coordinator knows
     */
    static Optional<Step> next(RolloutState state, EvidenceReview review, Situation situation) {
        // Without another version, a roll-back would leave the group without any.
        Optional<Step> rollBack = situation.isOnlyVersion() ? Optional.empty() : rollBack(review);
        if (rollBack.isPresent()) {
            return rollBack;
        }
        return state.phase() == RolloutPhase.TRIAL
                ? afterTrial(review, situation)
                : afterSwitch(situation);
    }

    /** Returns the roll-back if the evidence is against the version. */
    static Optional<Step> rollBack(EvidenceReview review) {
        for (Verdict verdict : review.verdicts()) {
            if (verdict.kind() == Verdict.Kind.BAD) {
                String where =
                        verdict.route().isEmpty() ? "all routes" : "route " + verdict.route();
                return step(RolloutPhase.ROLLED_BACK, "bad on " + where + ": " + verdict.reason());
            }
        }
        return Optional.empty();
    }

    private static Optional<Step> afterTrial(EvidenceReview review, Situation situation) {
        double elapsed = situation.elapsedShare();
        if (!situation.targetEverAnnounced()) {
            return elapsed < 1
                    ? Optional.empty()
                    : step(RolloutPhase.ROLLED_BACK, "no upstream announced the version in time");
        }
        if (situation.isOnlyVersion()) {
            return step(RolloutPhase.SWITCHING, "the group has no other version");
        }
        boolean isTargetGone = situation.targetAbsence().compareTo(ABSENCE) > 0;
        if (elapsed < SWITCH_SHARE || !situation.isEvidenceComplete() && elapsed < FORCED_SHARE) {
            return Optional.empty();
        }
        String figures = review.verdicts().get(0).reason();
        if (review.isDisrupted() || isTargetGone) {
            return elapsed < DISRUPTED_SHARE
                    ? Optional.empty()
                    : step(RolloutPhase.ROLLED_BACK, "disrupted until the end: " + figures);
        }
        if (review.isEnough() && review.isGood()) {
            return step(RolloutPhase.SWITCHING, "good: " + figures);
        }
        if (elapsed >= WAIT_SHARE && review.hasNoExcess()) {
            return step(RolloutPhase.SWITCHING, "no response in excess was bad: " + figures);
        }
        if (elapsed < FORCED_SHARE) {
            return Optional.empty();
        }
        return review.isEnough() && !review.isRatherBad()
                ? step(RolloutPhase.SWITCHING, "rather good: " + figures)
                : step(RolloutPhase.ROLLED_BACK, "rather bad: " + figures);
    }

    private static Optional<Step> afterSwitch(Situation situation) {
        if (situation.targetAbsence().compareTo(ABSENCE) > 0) {
            return step(RolloutPhase.ROLLED_BACK, "no upstream of the version is left");
        }
        if (situation.isBarrierClear()) {
            return step(RolloutPhase.COMPLETED, "no request is in flight at the old version");
        }
        if (situation.isOldGone()) {
            return step(RolloutPhase.COMPLETED, "no request at the old version could still end");
        }
        return Optional.empty();
    }

    private static Optional<Step> step(RolloutPhase phase, String reason) {
        return Optional.of(new Step(phase, reason));
    }

    /** Next phase and the inputs of the decision. */
    record Step(RolloutPhase phase, String reason) {}

    /**
     * What the coordinator knows beside the evidence.
     *
     * @param elapsedShare elapsed part of the period
     * @param targetEverAnnounced whether the target version was announced during the order
     * @param targetAbsence time for which no upstream has announced the target version
     * @param isOldGone whether no upstream has announced another version for so long that no
     *     request can be in flight there
     * @param isOnlyVersion whether the group has no other version
     * @param isEvidenceComplete whether all live entries have reported
     * @param isBarrierClear whether no request is in flight at the old version
     */
    record Situation(
            double elapsedShare,
            boolean targetEverAnnounced,
            Duration targetAbsence,
            boolean isOldGone,
            boolean isOnlyVersion,
            boolean isEvidenceComplete,
            boolean isBarrierClear) {}
}
