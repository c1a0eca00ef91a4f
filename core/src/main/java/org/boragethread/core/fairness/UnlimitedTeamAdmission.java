package org.boragethread.core.fairness;

import io.vavr.control.Either;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.team.Team;

/** Baseline for comparison: admits every request. */
public final class UnlimitedTeamAdmission implements TeamAdmission {

    private static final Admission NO_OP_ADMISSION = () -> {};

    @Override
    public Either<Refusal, Admission> tryAdmit(Team team) {
        return Either.right(NO_OP_ADMISSION);
    }
}
