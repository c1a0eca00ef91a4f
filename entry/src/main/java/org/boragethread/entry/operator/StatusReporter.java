package org.boragethread.entry.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.boragethread.core.dispatch.UpstreamLink;
import org.boragethread.core.dispatch.UpstreamTable;
import org.boragethread.core.selection.Candidate;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.wire.client.EntryIdentity;

/** Creates status reports of an entry. */
public final class StatusReporter {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EntryIdentity mIdentity;
    private final Supplier<Configuration> mConfiguration;
    private final UpstreamTable mUpstreams;
    private final Supplier<Optional<String>> mNotReadyReason;
    private final IntSupplier mRequests;
    private final Supplier<StatusReport.UnfinishedWork> mUnfinishedWork;
    private final Supplier<StatusReport.ConfigAges> mConfigAges;

    /**
     * Creates a reporter.
     *
     * @param notReadyReason why the entry is not ready, or empty if it is ready
     * @param requests number of requests in progress
     * @param unfinishedWork claims and jobs that have not ended
     * @param configAges ages of the configuration and of its newest snapshot
     */
    public StatusReporter(
            EntryIdentity identity,
            Supplier<Configuration> configuration,
            UpstreamTable upstreams,
            Supplier<Optional<String>> notReadyReason,
            IntSupplier requests,
            Supplier<StatusReport.UnfinishedWork> unfinishedWork,
            Supplier<StatusReport.ConfigAges> configAges) {
        mIdentity = Objects.requireNonNull(identity, "identity");
        mConfiguration = Objects.requireNonNull(configuration, "configuration");
        mUpstreams = Objects.requireNonNull(upstreams, "upstreams");
        mNotReadyReason = Objects.requireNonNull(notReadyReason, "notReadyReason");
        mRequests = Objects.requireNonNull(requests, "requests");
        mUnfinishedWork = Objects.requireNonNull(unfinishedWork, "unfinishedWork");
        mConfigAges = Objects.requireNonNull(configAges, "configAges");
    }

    /** Returns the report as JSON. */
    byte[] toJson() {
        try {
            return MAPPER.writeValueAsBytes(report());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to serialize the status report", e);
        }
    }

    private StatusReport report() {
        Configuration configuration = mConfiguration.get();
        return new StatusReport(
                mIdentity.entryId(),
                mIdentity.dataCentre().value(),
                configuration.revision(),
                mConfigAges.get(),
                mNotReadyReason.get().orElse("yes"),
                mRequests.getAsInt(),
                dataCentres(configuration),
                configuration.pipelines().keySet().stream().map(Object::toString).toList(),
                configuration.teams().size(),
                mUnfinishedWork.get(),
                upstreams(configuration));
    }

    private static Map<String, String> dataCentres(Configuration configuration) {
        Map<String, String> states = new TreeMap<>();
        for (DataCentreId id : configuration.dataCentres().keySet()) {
            states.put(id.value(), configuration.isInService(id) ? "in" : "out");
        }
        return states;
    }

    private List<StatusReport.UpstreamStatus> upstreams(Configuration configuration) {
        return mUpstreams.all().stream()
                .map(link -> status(link, configuration))
                .sorted(
                        Comparator.comparing(StatusReport.UpstreamStatus::group)
                                .thenComparing(StatusReport.UpstreamStatus::upstream))
                .toList();
    }

    private static StatusReport.UpstreamStatus status(
            UpstreamLink link, Configuration configuration) {
        Candidate candidate = link.candidate("");
        return new StatusReport.UpstreamStatus(
                link.upstream().value(),
                link.group().value(),
                link.dataCentre().value(),
                state(link, candidate, configuration).name().toLowerCase(Locale.ROOT),
                candidate.load().inFlight(),
                candidate.load().limit(),
                candidate.load().queued(),
                candidate.ownCalls(),
                TimeUnit.NANOSECONDS.toMillis(candidate.loadAgeNanos()));
    }

    private static State state(
            UpstreamLink link, Candidate candidate, Configuration configuration) {
        if (!configuration.isInService(link.upstream(), link.dataCentre())) {
            return State.OUT;
        }
        if (!link.isAccepting()) {
            return State.LEAVING;
        }
        return candidate.load().cold() ? State.COLD : State.SERVING;
    }

    private enum State {
        SERVING,
        COLD,
        LEAVING,
        OUT
    }
}
