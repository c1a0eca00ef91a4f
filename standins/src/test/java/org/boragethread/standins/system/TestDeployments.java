package org.boragethread.standins.system;

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

/** Specifies the deployment of the system tests: two entries, two data centres, four groups. */
final class TestDeployments {

    static final String TEAM = "patrol";
    static final String SUMMARY = "span-summary";
    static final String LOOKUP = "lookup";
    static final String CUT_ORDER = "cut-order";
    static final int TOKENS = 12;

    static final ExpectedResponse SUMMARY_ANSWER =
            new ExpectedResponse(
                    StageProperties.plain("/encode"),
                    StageProperties.plain("/rank"),
                    StageProperties.engine("/generate", TOKENS));
    static final ExpectedResponse LOOKUP_ANSWER =
            new ExpectedResponse(StageProperties.plain("/encode"));
    static final ExpectedResponse ORDER_ANSWER =
            new ExpectedResponse(StageProperties.plain("/cut"));

    private static final int LIMIT = 32;

    private TestDeployments() {}

    static DeploymentSpec.Builder standard() {
        return standard("");
    }

    static DeploymentSpec.Builder standard(String entrySettings) {
        return new DeploymentSpec.Builder()
                .entrySettings(entrySettings)
                .entry("entry-1", "florida")
                .entry("entry-2", "canelones")
                .upstream(plain("encode-1"), "encode", "florida")
                .upstream(plain("encode-2"), "encode", "canelones")
                .upstream(plain("rank-1"), "rank", "florida")
                .upstream(plain("rank-2"), "rank", "canelones")
                .upstream(engine("engine-1"), "engines", "florida")
                .upstream(engine("engine-2"), "engines", "canelones")
                .upstream(orders("orders-1"), "orders", "florida")
                .upstream(orders("orders-2"), "orders", "canelones")
                .configure(
                        new PutDataCentre(new DataCentre("florida", "uruguay", "in")),
                        new PutDataCentre(new DataCentre("canelones", "uruguay", "in")),
                        group("encode", "plain"),
                        group("rank", "plain"),
                        group("engines", "engine"),
                        group("orders", "plain"),
                        new PutTeam(new Team(TEAM, 1, 100_000, 10_000)),
                        pipeline(
                                SUMMARY,
                                stage("encode", "encode", "/encode", true, false),
                                stage("rank", "rank", "/rank", true, false),
                                stage("generate", "engines", "/generate", true, true)),
                        pipeline(LOOKUP, stage("encode", "encode", "/encode", true, false)),
                        pipeline(CUT_ORDER, stage("cut", "orders", "/cut", false, false)));
    }

    static UpstreamSettings settings(String json) {
        byte[] bytes = json.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return Json.merge(UpstreamSettings.DEFAULTS, bytes, UpstreamSettings.class);
    }

    private static UpstreamSettings plain(String name) {
        return settings("{\"name\":\"%s\",\"serviceMs\":3,\"capacity\":32}".formatted(name));
    }

    private static UpstreamSettings engine(String name) {
        return settings(
                ("{\"name\":\"%s\",\"kind\":\"ENGINE\",\"serviceMs\":5,\"tokenMs\":2,"
                                + "\"tokens\":%d,\"capacity\":32}")
                        .formatted(name, TOKENS));
    }

    private static UpstreamSettings orders(String name) {
        return settings(
                "{\"name\":\"%s\",\"kind\":\"ORDERS\",\"serviceMs\":3,\"capacity\":32}"
                        .formatted(name));
    }

    private static PutGroup group(String id, String kind) {
        return new PutGroup(new Group(id, kind, LIMIT, LIMIT, false));
    }

    private static PutPipeline pipeline(String id, Stage... stages) {
        return new PutPipeline(new Pipeline(id, List.of(stages), 5000, 0.99));
    }

    private static Stage stage(
            String name, String group, String path, boolean idempotent, boolean streaming) {
        return new Stage(name, group, path, idempotent, streaming);
    }
}
