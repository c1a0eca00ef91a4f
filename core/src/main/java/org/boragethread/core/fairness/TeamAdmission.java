package org.boragethread.core.fairness;

import io.vavr.control.Either;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.team.Team;

/** Decides whether an entry takes a team's request. Safe for use by several threads. */
public interface TeamAdmission {

    /**
     * Takes or refuses a request at once.
     *
     * @return the admission, which must be closed once the request is answered, or a refusal
     */
    Either<Refusal, Admission> tryAdmit(Team team);

    /** A request that has been taken and not yet answered. */
    interface Admission extends AutoCloseable {
        /** Ends the request. Later calls have no effect. */
        @Override
        void close();
    }
}
