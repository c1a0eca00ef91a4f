package org.boragethread.core.config;

import org.boragethread.model.config.Change;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.JobSettlement;
import org.boragethread.model.place.ServiceState;

/** Describes changes for operators, as the steps of a plan. */
final class StepDescription {

    private StepDescription() {}

    static String of(Change change, Configuration before) {
        if (change instanceof Change.SetDataCentreService c) {
            return service(change, c.service());
        }
        if (change instanceof Change.SetUpstreamService c) {
            return service(change, c.service());
        }
        if (change instanceof Change.SettleJob c) {
            return c.outcome() == JobSettlement.RAN
                    ? "record that %s has run".formatted(c.ref())
                    : "record that %s has not run, and let it run again".formatted(c.ref());
        }
        if (change instanceof Change.RemoveTeam || change instanceof Change.RemovePipeline) {
            return "remove %s; its new requests are refused".formatted(change.ref());
        }
        return put(change, before);
    }

    private static String put(Change change, Configuration before) {
        long revision = before.revisionOf(change.ref());
        if (revision == Configuration.NO_REVISION) {
            return "add %s".formatted(change.ref());
        }
        return "replace %s as of revision %d".formatted(change.ref(), revision);
    }

    private static String service(Change change, ServiceState state) {
        return state == ServiceState.OUT
                ? "take %s out of service; it gets no new work".formatted(change.ref())
                : "put %s into service".formatted(change.ref());
    }
}
