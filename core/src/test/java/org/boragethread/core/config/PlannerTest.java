package org.boragethread.core.config;

import static org.boragethread.core.config.TestConfigs.ENGINES;
import static org.boragethread.core.config.TestConfigs.FLORIDA;
import static org.boragethread.core.config.TestConfigs.SAN_JOSE;
import static org.boragethread.core.config.TestConfigs.accept;
import static org.boragethread.core.config.TestConfigs.base;
import static org.boragethread.core.config.TestConfigs.intent;
import static org.boragethread.core.config.TestConfigs.plan;
import static org.boragethread.core.config.TestConfigs.takeOutOfService;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.boragethread.model.config.CapacityEffect;
import org.boragethread.model.config.Change;
import org.boragethread.model.config.Configuration;
import org.boragethread.model.config.Intent;
import org.boragethread.model.config.Plan;
import org.boragethread.model.upstream.GroupId;
import org.testng.annotations.Test;

/** Tests {@link Planner}. */
public class PlannerTest {

    private static ConfigError errorFor(Configuration configuration, Change... changes) {
        return new Planner(TestConfigs::upstreams)
                .plan(intent("bad", changes), configuration)
                .getLeft();
    }

    @Test
    public void planReportsTheCapacityLeftWithoutADataCentre() {
        Plan plan = plan(base(), "out", takeOutOfService(FLORIDA));
        assertEquals(
                plan.steps(),
                List.of("take data-centre \"florida\" out of service; it gets no new work"));
        assertEquals(plan.effects().capacity(), List.of(new CapacityEffect(ENGINES, 2, 1)));
        assertEquals(
                plan.effects().warnings(),
                List.of("group \"engines\" keeps 1 of 2 upstreams in service"));
        assertFalse(plan.effects().needsForce());
    }

    @Test
    public void planReportsAStageLeftWithoutCapacity() {
        Configuration before = accept(base(), "first", takeOutOfService(FLORIDA));
        Plan plan = plan(before, "second", takeOutOfService(SAN_JOSE));
        assertTrue(plan.lacksForce());
        assertEquals(
                plan.effects().warnings(),
                List.of(
                        "stage \"draft\" of pipeline \"notes\" has no upstream of group"
                                + " \"engines\" in service"));
        Intent forced = new Intent("forced", "ana", List.of(takeOutOfService(SAN_JOSE)), true);
        assertFalse(plan(forced, before).lacksForce());
    }

    @Test
    public void newPipelineWithoutUpstreamsOnlyWarns() {
        GroupId maps = new GroupId("maps");
        Plan plan =
                plan(
                        base(),
                        "maps",
                        TestConfigs.group(maps),
                        TestConfigs.pipeline("mapping", maps));
        assertEquals(plan.effects().warnings().size(), 1);
        assertFalse(plan.effects().needsForce());
    }

    @Test
    public void pipelineWithAnUnknownGroupIsRejected() {
        ConfigError error = errorFor(base(), TestConfigs.pipeline("maps", new GroupId("maps")));
        assertEquals(
                error.detail(),
                "pipeline \"maps\": stage \"draft\" names group \"maps\", which does not exist");
    }

    @Test
    public void removalOfAnUnknownTeamIsRejected() {
        assertEquals(
                errorFor(base(), TestConfigs.removeTeam("maps")).detail(),
                "team \"maps\" does not exist");
    }

    @Test
    public void equalIntentsAtOneRevisionHaveEqualPlans() {
        assertEquals(
                plan(base(), "out", takeOutOfService(FLORIDA)).id(),
                plan(base(), "out", takeOutOfService(FLORIDA)).id());
    }

    @Test
    public void intentTooLargeForOneRecordIsRejected() {
        Change[] changes = new Change[Intent.MAX_CHANGES];
        for (int i = 0; i < changes.length; i++) {
            changes[i] = TestConfigs.team("team-with-a-rather-long-name-for-a-team-" + i, 1);
        }
        assertEquals(errorFor(base(), changes).kind(), ConfigError.Kind.INVALID);
    }
}
