package org.boragethread.core.fairness;

import io.vavr.control.Either;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.team.Team;

/** Baseline: takes every request. */
public final class UnlimitedTeamAdmission implements TeamAdmission {

    private static final Admission NOTHING_TO_END = () -> {};

    @Override
    public Either<Refusal, Admission> tryAdmit(Team team) {
        return Either.right(NOTHING_TO_END);
    }
}
