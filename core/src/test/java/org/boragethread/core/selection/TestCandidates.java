package org.boragethread.core.selection;

import java.time.Duration;
import java.util.Arrays;
import java.util.Set;
import org.boragethread.model.place.DataCentreId;
import org.boragethread.model.upstream.GroupKind;
import org.boragethread.model.upstream.UpstreamId;
import org.boragethread.model.upstream.UpstreamLoad;

/** Creates candidates and requests for tests of upstream selection. */
final class TestCandidates {

    static final String REGION = "litoral";

    private TestCandidates() {}

    static SelectionRequest request(GroupKind kind, long prefixHash, String... excluded) {
        Set<UpstreamId> ids = Set.copyOf(Arrays.stream(excluded).map(UpstreamId::new).toList());
        return new SelectionRequest(kind, new DataCentreId("florida"), REGION, prefixHash, ids);
    }

    static Candidate at(String name, String dataCentre, String region, int inFlight, int limit) {
        return new Candidate(
                new UpstreamId(name),
                new DataCentreId(dataCentre),
                region,
                new UpstreamLoad(inFlight, limit, 0, false, false),
                0,
                0);
    }

    static Candidate inHomeDataCentre(String name, int inFlight, int limit) {
        return at(name, "florida", REGION, inFlight, limit);
    }

    static Candidate withOwnCalls(Candidate from, int sent, Duration age) {
        return new Candidate(
                from.upstream(),
                from.dataCentre(),
                from.region(),
                from.load(),
                age.toNanos(),
                sent);
    }

    static Candidate asLeaving(Candidate from) {
        UpstreamLoad load = new UpstreamLoad(0, from.load().limit(), 0, false, true);
        return new Candidate(
                from.upstream(), from.dataCentre(), from.region(), load, 0, from.ownCalls());
    }
}
