package org.boragethread.core.fairness;

import io.vavr.control.Either;
import org.boragethread.model.outcome.Refusal;
import org.boragethread.model.team.Team;

/** Decides whether an entry accepts a team's request. Implementations are thread-safe. */
public interface TeamAdmission {

    /**
     * Admits or refuses a request without waiting.
     *
     * @return the admission, which must be closed once the request has been answered, or a refusal
     */
    Either<Refusal, Admission> tryAdmit(Team team);

    /** An admitted request that has not been answered yet. */
    interface Admission extends AutoCloseable {
        /** Ends the request. Only the first invocation has an effect. */
        @Override
        void close();
    }
}
