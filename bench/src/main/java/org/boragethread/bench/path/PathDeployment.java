package org.boragethread.bench.path;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.boragethread.standins.caller.ExpectedResponse;
import org.boragethread.standins.caller.StageProperties;
import org.boragethread.standins.harness.ConfigDocuments.Group;
import org.boragethread.standins.harness.ConfigDocuments.Pipeline;
import org.boragethread.standins.harness.ConfigDocuments.PutGroup;
import org.boragethread.standins.harness.ConfigDocuments.PutPipeline;
import org.boragethread.standins.harness.ConfigDocuments.PutTeam;
import org.boragethread.standins.harness.ConfigDocuments.Stage;
import org.boragethread.standins.harness.ConfigDocuments.Team;
import org.boragethread.standins.harness.Deployment;
import org.boragethread.standins.harness.DeploymentSpec;
import org.boragethread.standins.http.Json;
import org.boragethread.standins.upstream.UpstreamSettings;

/** A deployment of one entry with plain groups and an engine, with constant service times. */
final class PathDeployment {

    static final String TEAM = "bench";
    static final String SUMMARY = "summary";
    static final String LOOKUP = "lookup";
    static final int TOKENS = 20;
    static final List<String> PLAIN_STAGES = List.of("encode", "retrieve", "rank");
    static final String ENGINE_STAGE = "engine";
    static final ExpectedResponse SUMMARY_ANSWER =
            new ExpectedResponse(
                    StageProperties.plain("/encode"),
                    StageProperties.plain("/retrieve"),
                    StageProperties.plain("/rank"),
                    StageProperties.engine("/engine", TOKENS));
    static final ExpectedResponse LOOKUP_ANSWER =
            new ExpectedResponse(StageProperties.plain("/lookup"));

    private static final String DATA_CENTRE = "florida";
    private static final int LIMIT = 256;
    private static final int LOOKUP_UPSTREAMS = 4;

    private PathDeployment() {}

    static Deployment start() throws IOException {
        DeploymentSpec.Builder spec =
                new DeploymentSpec.Builder()
                        .entry("entry-1", DATA_CENTRE)
                        .entryJvm("-Xmx512m")
                        .agentJvm("-Xmx96m", "-XX:+UseSerialGC");
        for (String group : PLAIN_STAGES) {
            spec.upstream(settings(group, "PLAIN", 2), group, DATA_CENTRE);
            spec.configure(group(group, "plain"));
        }
        spec.upstream(settings(ENGINE_STAGE, "ENGINE", 5), ENGINE_STAGE, DATA_CENTRE);
        spec.configure(group(ENGINE_STAGE, "engine"), group(LOOKUP, "plain"));
        for (int i = 0; i < LOOKUP_UPSTREAMS; i++) {
            spec.upstream(settings(LOOKUP + "-" + i, "PLAIN", 1), LOOKUP, DATA_CENTRE);
        }
        spec.configure(
                new PutTeam(new Team(TEAM, 1, 1_000_000, 100_000)),
                pipeline(
                        SUMMARY,
                        stage("encode", false),
                        stage("retrieve", false),
                        stage("rank", false),
                        stage(ENGINE_STAGE, true)),
                pipeline(LOOKUP, stage(LOOKUP, false)));
        return Deployment.start(spec.build());
    }

    private static UpstreamSettings settings(String name, String kind, double serviceMs) {
        String json =
                ("{\"name\":\"%s\",\"kind\":\"%s\",\"serviceMs\":%s,\"serviceSigma\":0,"
                                + "\"loadSlope\":0,\"tokenMs\":10,\"tokens\":%d,"
                                + "\"capacity\":%d,\"maxConcurrent\":%d,\"coldCapacity\":%d}")
                        .formatted(name, kind, serviceMs, TOKENS, LIMIT, LIMIT, LIMIT);
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        return Json.merge(UpstreamSettings.DEFAULTS, bytes, UpstreamSettings.class);
    }

    private static PutGroup group(String id, String kind) {
        return new PutGroup(new Group(id, kind, LIMIT, LIMIT, false));
    }

    private static Stage stage(String group, boolean streaming) {
        return new Stage(group, group, "/" + group, true, streaming);
    }

    private static PutPipeline pipeline(String id, Stage... stages) {
        return new PutPipeline(new Pipeline(id, List.of(stages), 30_000, 0.99));
    }
}
