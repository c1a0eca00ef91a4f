package org.boragethread.bench.demo;

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

/** The deployment of the demonstration: two data centres, five groups, two entries. */
final class DemoDeployment {

    static final String TEAM = "patrol-north";
    static final String SUMMARY = "span-summary";
    static final String LOOKUP = "order-lookup";
    static final String CUT_ORDER = "cut-order";
    static final String DRAINED_DATA_CENTRE = "canelones";

    static final ExpectedResponse SUMMARY_ANSWER =
            new ExpectedResponse(
                    StageProperties.plain("/encode"),
                    StageProperties.plain("/retrieve"),
                    StageProperties.plain("/rerank"),
                    StageProperties.engine("/generate", UpstreamSettings.DEFAULTS.tokens()));
    static final ExpectedResponse LOOKUP_ANSWER =
            new ExpectedResponse(StageProperties.plain("/retrieve"));
    static final ExpectedResponse ORDER_ANSWER =
            new ExpectedResponse(StageProperties.plain("/orders"));

    private static final List<String> DATA_CENTRES = List.of("montevideo", DRAINED_DATA_CENTRE);
    private static final int COLD_LIMIT = 4;
    private static final int MAX_LIMIT = 16;
    private static final long DEADLINE_MILLIS = 2000;
    private static final double LATENCY_GOAL = 0.99;

    private DemoDeployment() {}

    static DeploymentSpec spec() {
        DeploymentSpec.Builder builder = new DeploymentSpec.Builder();
        for (String dataCentre : DATA_CENTRES) {
            builder.entry("entry-" + dataCentre, dataCentre);
            builder.upstream(upstream("encode", "PLAIN", dataCentre), "encode", dataCentre);
            builder.upstream(upstream("retrieve", "PLAIN", dataCentre), "retrieve", dataCentre);
            builder.upstream(upstream("rerank", "PLAIN", dataCentre), "rerank", dataCentre);
            builder.upstream(upstream("engine", "ENGINE", dataCentre), "engines", dataCentre);
            builder.upstream(upstream("orders", "ORDERS", dataCentre), "orders", dataCentre);
            builder.configure(new PutDataCentre(new DataCentre(dataCentre, "uruguay", "in")));
        }
        for (String group : List.of("encode", "retrieve", "rerank", "orders")) {
            builder.configure(group(group, "plain"));
        }
        builder.configure(
                group("engines", "engine"),
                new PutTeam(new Team(TEAM, 1, 1000, 100)),
                pipeline(
                        SUMMARY,
                        stage("encode", "encode", true, false),
                        stage("retrieve", "retrieve", true, false),
                        stage("rerank", "rerank", true, false),
                        stage("generate", "engines", true, true)),
                pipeline(LOOKUP, stage("retrieve", "retrieve", true, false)),
                pipeline(CUT_ORDER, stage("orders", "orders", false, false)));
        return builder.build();
    }

    private static UpstreamSettings upstream(String name, String kind, String dataCentre) {
        String json = "{\"name\":\"%s-%s\",\"kind\":\"%s\"}".formatted(name, dataCentre, kind);
        return Json.merge(
                UpstreamSettings.DEFAULTS,
                json.getBytes(StandardCharsets.UTF_8),
                UpstreamSettings.class);
    }

    private static PutGroup group(String id, String kind) {
        return new PutGroup(new Group(id, kind, COLD_LIMIT, MAX_LIMIT, false));
    }

    private static PutPipeline pipeline(String id, Stage... stages) {
        return new PutPipeline(new Pipeline(id, List.of(stages), DEADLINE_MILLIS, LATENCY_GOAL));
    }

    private static Stage stage(String name, String group, boolean idempotent, boolean streaming) {
        return new Stage(name, group, "/" + name, idempotent, streaming);
    }
}
