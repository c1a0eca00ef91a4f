package org.boragethread.bench.load;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.boragethread.standins.caller.ExpectedResponse;
import org.boragethread.standins.caller.StageProperties;
import org.boragethread.standins.harness.ConfigDocuments.DataCentre;
import org.boragethread.standins.harness.ConfigDocuments.Group;
import org.boragethread.standins.harness.ConfigDocuments.Pipeline;
import org.boragethread.standins.harness.ConfigDocuments.PutDataCentre;
import org.boragethread.standins.harness.ConfigDocuments.PutGroup;
import org.boragethread.standins.harness.ConfigDocuments.PutPipeline;
import org.boragethread.standins.harness.ConfigDocuments.PutTeam;
import org.boragethread.standins.harness.ConfigDocuments.Stage;
import org.boragethread.standins.harness.ConfigDocuments.Team;
import org.boragethread.standins.harness.DeploymentSpec;
import org.boragethread.standins.http.Json;
import org.boragethread.standins.upstream.UpstreamSettings;

/** A deployment of two entries and a group of eight upstreams in two data centres. */
final class LoadDeployment {

    static final String PIPELINE = "lookup";
    static final String DRAINED_DATA_CENTRE = "florida";
    static final String OTHER_DATA_CENTRE = "canelones";
    static final int UPSTREAMS = 8;
    static final long DEADLINE_MS = 1000;
    static final ExpectedResponse ANSWER = new ExpectedResponse(StageProperties.plain("/lookup"));

    /** Requests per second that all upstreams together can answer. */
    static final double CAPACITY_PER_SECOND;

    private static final int UPSTREAM_CAPACITY = 4;
    private static final int MAX_CONCURRENT = 16;
    private static final int COLD_LIMIT = 2;
    private static final int WARM_CALLS = 40;
    private static final double SERVICE_MS = 100;
    private static final double SERVICE_SIGMA = 0.2;
    private static final double MS_PER_SECOND = 1000;
    private static final double UNBOUNDED_RATE = 1_000_000;
    private static final int UNBOUNDED_CONCURRENCY = 100_000;

    static {
        // Mean of the log-normal service time, from its median and sigma.
        double meanMs = SERVICE_MS * Math.exp(SERVICE_SIGMA * SERVICE_SIGMA / 2);
        CAPACITY_PER_SECOND = UPSTREAMS * UPSTREAM_CAPACITY * MS_PER_SECOND / meanMs;
    }

    private LoadDeployment() {}

    static DeploymentSpec spec(Variant variant, boolean startsCold, List<String> teams) {
        DeploymentSpec.Builder spec =
                new DeploymentSpec.Builder()
                        .entrySettings(variant.entrySettings())
                        .agentSettings(variant.agentSettings())
                        .entry("entry-1", DRAINED_DATA_CENTRE)
                        .entry("entry-2", OTHER_DATA_CENTRE)
                        .configure(
                                new PutDataCentre(
                                        new DataCentre(DRAINED_DATA_CENTRE, "uruguay", "in")),
                                new PutDataCentre(
                                        new DataCentre(OTHER_DATA_CENTRE, "uruguay", "in")),
                                new PutGroup(
                                        new Group(
                                                PIPELINE,
                                                "plain",
                                                COLD_LIMIT,
                                                MAX_CONCURRENT,
                                                false)));
        for (int i = 0; i < UPSTREAMS; i++) {
            spec.upstream(upstream(i, startsCold), PIPELINE, dataCentre(i));
        }
        for (String team : teams) {
            Team unbounded = new Team(team, 1, UNBOUNDED_RATE, UNBOUNDED_CONCURRENCY);
            spec.configure(new PutTeam(unbounded));
        }
        Stage stage = new Stage(PIPELINE, PIPELINE, "/" + PIPELINE, true, false);
        Pipeline pipeline = new Pipeline(PIPELINE, List.of(stage), DEADLINE_MS, 0.99);
        return spec.configure(new PutPipeline(pipeline)).build();
    }

    static String name(int index) {
        return "lookup-" + index;
    }

    static String dataCentre(int index) {
        return index < UPSTREAMS / 2 ? DRAINED_DATA_CENTRE : OTHER_DATA_CENTRE;
    }

    private static UpstreamSettings upstream(int index, boolean startsCold) {
        String json =
                ("{\"name\":\"%s\",\"kind\":\"PLAIN\",\"serviceMs\":%s,\"serviceSigma\":%s,"
                                + "\"loadSlope\":0,\"capacity\":%d,\"maxConcurrent\":%d,"
                                + "\"coldCapacity\":%d,\"warmCalls\":%d,\"seed\":%d}")
                        .formatted(
                                name(index),
                                SERVICE_MS,
                                SERVICE_SIGMA,
                                UPSTREAM_CAPACITY,
                                MAX_CONCURRENT,
                                COLD_LIMIT,
                                startsCold ? WARM_CALLS : 0,
                                index + 1);
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        return Json.merge(UpstreamSettings.DEFAULTS, bytes, UpstreamSettings.class);
    }
}
