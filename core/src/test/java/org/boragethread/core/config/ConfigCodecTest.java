package org.boragethread.core.config;

import static org.boragethread.core.config.TestConfigs.base;
import static org.boragethread.core.config.TestConfigs.plan;
import static org.boragethread.core.config.TestConfigs.team;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.boragethread.model.config.Change;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.Intent;
import org.boragethread.model.config.JobSettlement;
import org.boragethread.model.config.Plan;
import org.boragethread.model.pipeline.PipelineId;
import org.boragethread.model.place.ServiceState;
import org.boragethread.model.upstream.UpstreamId;
import org.testng.annotations.Test;

/** Tests {@link ConfigCodec}. */
public class ConfigCodecTest {

    private static final long SEED = 42;

    private static Either<ConfigError, Intent> read(String json) {
        return ConfigCodec.readIntent(json.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    public void intentWithEveryKindOfChangeRoundTrips() {
        Intent intent =
                new Intent(
                        "all",
                        "ana",
                        List.of(
                                TestConfigs.dataCentre(TestConfigs.FLORIDA),
                                TestConfigs.group(TestConfigs.ENGINES),
                                team("lines", 2),
                                TestConfigs.removeTeam("maps"),
                                TestConfigs.pipeline("notes", TestConfigs.ENGINES),
                                new Change.RemovePipeline(new PipelineId("old")),
                                TestConfigs.takeOutOfService(TestConfigs.SAN_JOSE),
                                new Change.SetUpstreamService(
                                        new UpstreamId("engine-1"), ServiceState.IN),
                                new Change.SettleJob("job-1", JobSettlement.RAN)),
                        true);
        assertEquals(ConfigCodec.readIntent(ConfigCodec.writeIntent(intent)).get(), intent);
    }

    @Test
    public void unknownFieldIsReportedWithItsRemedy() {
        ConfigError error =
                read("""
                        {"id": "a", "operator": "ana", "changes": [{"kind": "put-team", "team":
                        {"id": "t", "weight": 1, "ratePerSecond": 5, "maxConcurent": 3}}]}
                        """)
                        .getLeft();
        assertEquals(error.kind(), ConfigError.Kind.MALFORMED);
        assertEquals(
                error.message(), "changes[0].team.maxConcurrent is missing: correct the document");
        ConfigError unknown =
                read("{\"id\":\"a\",\"operator\":\"b\",\"forse\":true,\"changes\":[{\"kind\":"
                                + "\"remove-team\",\"team\":\"t\"}]}")
                        .getLeft();
        assertEquals(
                unknown.message(),
                "unknown field forse; known fields are [changes, force, id, operator]: remove"
                        + " the field or correct its name");
    }

    @Test
    public void valueOutOfRangeIsReportedWithItsPath() {
        ConfigError error =
                read("{\"id\":\"a\",\"operator\":\"b\",\"changes\":["
                                + "{\"kind\":\"put-team\",\"team\":"
                                + "{\"id\":\"t\",\"weight\":0,\"ratePerSecond\":1,"
                                + "\"maxConcurrent\":1}}]}")
                        .getLeft();
        assertEquals(
                error.message(),
                "changes[0].team team \"t\": weight must be at least 1: correct the document");
    }

    @Test
    public void intentThatChangesAnObjectTwiceIsRejected() {
        ConfigError error =
                read("{\"id\":\"a\",\"operator\":\"b\",\"changes\":["
                                + "{\"kind\":\"remove-team\",\"team\":\"t\"},"
                                + "{\"kind\":\"remove-team\",\"team\":\"t\"}]}")
                        .getLeft();
        assertTrue(error.detail().contains("changes team \"t\" twice"), error.detail());
    }

    @Test
    public void modifiedPlanIsRejected() {
        Plan plan = plan(base(), "add", team("lines", 2));
        String json = new String(ConfigCodec.writePlan(plan), StandardCharsets.UTF_8);
        assertEquals(
                ConfigCodec.readPlan(json.getBytes(StandardCharsets.UTF_8)), Either.right(plan));
        String edited = json.replace("\"weight\":2", "\"weight\":3");
        assertNotEquals(edited, json);
        assertEquals(
                ConfigCodec.readPlan(edited.getBytes(StandardCharsets.UTF_8)).getLeft().kind(),
                ConfigError.Kind.DIGEST);
    }

    @Test
    public void configurationRoundTrips() {
        Configuration now =
                TestConfigs.accept(
                        base(), "out", TestConfigs.takeOutOfService(TestConfigs.FLORIDA));
        now =
                TestConfigs.accept(
                        now, "settle", new Change.SettleJob("job-1", JobSettlement.NOT_RUN));
        byte[] json = ConfigCodec.writeConfiguration(now);
        Configuration read = ConfigCodec.readConfiguration(json).get();
        assertEquals(ConfigCodec.writeConfiguration(read), json);
        assertEquals(read.decision(now.decisions().iterator().next().plan()).isPresent(), true);
    }

    @Test
    public void corruptRecordsAreErrorsAndNeverExceptions() {
        Random random = new Random(SEED);
        byte[] valid = TestConfigs.record(0, plan(base(), "add", team("lines", 2))).data();
        int errors = 0;
        for (int i = 0; i < 2000; i++) {
            byte[] corrupt = valid.clone();
            for (int flips = 0; flips <= i % 3; flips++) {
                corrupt[random.nextInt(corrupt.length)] = (byte) random.nextInt(256);
            }
            errors += ConfigCodec.readRecord(corrupt).isLeft() ? 1 : 0;
        }
        assertTrue(errors > 1900, "errors: " + errors);
    }

    @Test
    public void snapshotPartsRoundTrip() {
        Configuration now = base();
        for (int i = 0; i < 50; i++) {
            now = TestConfigs.accept(now, "team-" + i, team("team-" + i, 1));
        }
        List<ConfigSnapshotPart> parts = SnapshotFormat.split(now, 300);
        assertTrue(parts.size() > 3, "parts: " + parts.size());
        SnapshotAssembler assembler = new SnapshotAssembler();
        Configuration joined = null;
        for (ConfigSnapshotPart part : parts) {
            byte[] data = ConfigCodec.writeRecord(new ConfigRecord.SnapshotPart(part));
            assertTrue(ConfigCodec.looksLikeSnapshot(data));
            ConfigRecord read = ConfigCodec.readRecord(data).get();
            joined =
                    assembler
                            .add("a", ((ConfigRecord.SnapshotPart) read).part())
                            .map(Either::get)
                            .orElse(joined);
        }
        assertEquals(ConfigCodec.hashOf(joined), ConfigCodec.hashOf(now));
    }

    @Test
    public void snapshotWithACorruptPartIsRejected() {
        ConfigSnapshotPart part = SnapshotFormat.split(base(), 100_000).get(0);
        byte[] data = part.data().clone();
        data[data.length / 2] ^= 1;
        ConfigSnapshotPart corrupt =
                new ConfigSnapshotPart(part.revision(), 0, 1, data, part.contentHash());
        assertEquals(
                SnapshotFormat.join(List.of(corrupt)).getLeft().kind(),
                ConfigError.Kind.HASH_MISMATCH);
    }
}
